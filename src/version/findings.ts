/**
 * Finds parts of a valid configuration that do not do what their author probably meant: objects and routes that nothing ever
 * matches, and limits that contradict each other.
 */
import {createDiagnostic, Diagnostics, type Diagnostic} from '../process/diagnostics.js';
import {formatObjectName} from './snapshot.js';
import type {
	ObjectName, PolicyObject, Route, ServiceObject, Snapshot, SubmissionObject,
} from './types.js';

/** A part of a configuration that deserves a look before it is published. */
export type Finding = {
	/** The object to change; undefined for routes. */
	readonly object?: ObjectName;
	readonly diagnostic: Diagnostic;
};

/** Returns the findings of a snapshot without broken references. */
export function findConfigProblems(snapshot: Snapshot): readonly Finding[] {
	return [
		...findUnusedObjects(snapshot),
		...[...snapshot.services.values()].flatMap(service => findServiceProblems(service, snapshot)),
		...[...snapshot.submissions.values()].flatMap(submission => findSubmissionProblems(submission, snapshot)),
		...findRouteProblems(snapshot.routes ?? []),
	];
}

function findUnusedObjects({policies, services, teams, submissions}: Snapshot): Finding[] {
	const usedPolicies = new Set([...services.values()].map(({policy}) => policy));
	const usedServices = new Set([...submissions.values()].map(({service}) => service));
	const usedTeams = new Set([...submissions.values()].map(({team}) => team));
	return [
		...[...policies.values()].filter(({name}) => !usedPolicies.has(name)).map(object => createUnusedFinding(object, 'service')),
		...[...services.values()].filter(({name}) => !usedServices.has(name)).map(object => createUnusedFinding(object, 'submission')),
		...[...teams.values()].filter(({name}) => !usedTeams.has(name)).map(object => createUnusedFinding(object, 'submission')),
	];
}

function createUnusedFinding(object: ObjectName, user: string): Finding {
	return {object, diagnostic: createDiagnostic(Diagnostics.Object_is_unused, formatObjectName(object), user)};
}

function findServiceProblems(service: ServiceObject, {policies}: Snapshot): Finding[] {
	const policy = policies.get(service.policy);
	return policy !== undefined && service.maxTasksPerJob > policy.maxQueuedTasks
		? [{
			object: service,
			diagnostic: createDiagnostic(Diagnostics.Largest_jobs_are_refused, formatObjectName(service), service.maxTasksPerJob, 'maxQueuedTasks', formatObjectName(policy), policy.maxQueuedTasks),
		}]
		: [];
}

function findSubmissionProblems(submission: SubmissionObject, {services, policies, teams}: Snapshot): Finding[] {
	const service = services.get(submission.service);
	const policy = service && policies.get(service.policy);
	const team = teams.get(submission.team);
	const diagnostics: Diagnostic[] = [];
	const name = formatObjectName(submission);
	if (policy !== undefined) {
		diagnostics.push(...findTimeProblems(submission, policy));
	}

	if (service !== undefined && team !== undefined && service.maxTasksPerJob > team.maxTasks) {
		diagnostics.push(createDiagnostic(Diagnostics.Largest_jobs_are_refused, name, service.maxTasksPerJob, 'maxTasks', formatObjectName(team), team.maxTasks));
	}

	return diagnostics.map(diagnostic => ({object: submission, diagnostic}));
}

function findTimeProblems(submission: SubmissionObject, policy: PolicyObject): Diagnostic[] {
	const name = formatObjectName(submission);
	const policyName = formatObjectName(policy);
	const diagnostics: Diagnostic[] = [];
	if (submission.deadline > policy.deadline) {
		diagnostics.push(createDiagnostic(Diagnostics.Limit_has_no_effect, 'deadlineMs', name, submission.deadline, 'deadlineMs', policyName, policy.deadline));
	}

	if (submission.expectedRun > policy.taskTimeout) {
		diagnostics.push(createDiagnostic(Diagnostics.Run_time_exceeds_timeout, name, submission.expectedRun, policyName, policy.taskTimeout));
	} else if (submission.expectedRun > policy.deadline) {
		diagnostics.push(createDiagnostic(Diagnostics.Run_time_exceeds_deadline, name, submission.expectedRun, policy.deadline));
	}

	return diagnostics;
}

/** Among routes with the same host and prefix, the first one serves all requests. */
function findRouteProblems(routes: readonly Route[]): Finding[] {
	const firstByTarget = new Map<string, Route>();
	const findings: Finding[] = [];
	for (const route of routes) {
		const target = `${route.host}${route.pathPrefix}`;
		const first = firstByTarget.get(target);
		if (first === undefined) {
			firstByTarget.set(target, route);
		} else {
			findings.push({diagnostic: createDiagnostic(Diagnostics.Route_never_matches, route.submission, target, first.submission)});
		}

		findings.push(...findRouteLimitProblems(route).map(diagnostic => ({diagnostic})));
	}

	return findings;
}

function findRouteLimitProblems({submission, attempts, deadline, margin, pathPrefix}: Route): Diagnostic[] {
	const diagnostics: Diagnostic[] = [];
	if (!pathPrefix.startsWith('/')) {
		diagnostics.push(createDiagnostic(Diagnostics.Path_prefix_never_matches, submission, pathPrefix));
	}

	if (attempts < 1) {
		diagnostics.push(createDiagnostic(Diagnostics.Route_allows_no_attempt, submission, attempts));
	}

	if (margin > deadline) {
		diagnostics.push(createDiagnostic(Diagnostics.Objective_exceeds_deadline, submission, margin, deadline));
	}

	return diagnostics;
}
