/**
 * The configuration of simulated runs, and the operator who changes it.
 */
import {sleep} from '../../src/process/clock.js';
import type {Platform} from '../../src/process/platform/types.js';
import {loadHead} from '../../src/version/load.js';
import {publishChangeSet} from '../../src/version/publish.js';
import type {
	Change, ConfigObject, PlacementMode, PolicyObject, UpstreamObject,
} from '../../src/version/types.js';
import type {Journal} from './journal.js';
import type {SimulatedProcess} from './simulation.js';

/** Names of the upstreams; the agent of each has the same name. */
export const upstreamNames = ['u1', 'u2', 'u3'] as const;

/** Slots of each upstream. */
export const slotsPerUpstream = 4;

/** Deadline of every submission. */
export const deadlineMs = 6000;

/** Publishes changes and retries each until it is accepted. */
export type Operator = {
	publish(objects: readonly ConfigObject[]): void;
	/** Returns the newest accepted version. */
	getPublished(): number;
};

const retryMs = 200;

/** Creates an operator. */
export function createOperator(process: SimulatedProcess, platform: Platform, journal: Journal): Operator {
	const {clock} = process;
	let published = 0;
	let changeSets = 0;

	return {
		publish(objects) {
			changeSets++;
			void publishUntilAccepted(`change-${changeSets}`, objects.map(object => ({kind: 'put', object})));
		},
		getPublished: () => published,
	};

	async function publishUntilAccepted(id: string, changes: readonly Change[]): Promise<void> {
		for (;;) {
			const head = await loadHead(platform);
			const outcome = await publishChangeSet({platform, clock}, {
				id, base: head.isOk() ? head.value.version : 0, author: process.name, reason: 'test', changes,
			});
			if (outcome.isOk()) {
				published = Math.max(published, outcome.value.version);
				journal.record({kind: 'published', version: outcome.value.version});
				return;
			}

			await sleep(clock, retryMs);
		}
	}
}

/** Creates the configuration object of an upstream, which is drained if `drain` is true. */
export function createUpstreamObject(name: string, drain: boolean): UpstreamObject {
	return {
		kind: 'upstream', name, service: 'meals', slots: slotsPerUpstream, drain,
	};
}

/** Creates the policy of the only service. */
export function createPolicy(placement: PlacementMode): PolicyObject {
	return {
		kind: 'policy', name: 'standard', placement, maxQueuedTasks: 80,
		taskTimeout: 1500, deadline: deadlineMs, retryPercent: 20, recordBeforeStart: false,
	};
}

/** Creates all objects of the first version. */
export function createObjects(): ConfigObject[] {
	return [
		createPolicy('response'),
		{
			kind: 'service', name: 'meals', policy: 'standard', maxTasksPerJob: 100, maxPayload: 1000,
		},
		...upstreamNames.map(name => createUpstreamObject(name, false)),
		{
			kind: 'team', name: 'office', maxTasks: 100, weight: 1,
		},
		...['check', 'order'].map((name): ConfigObject => ({
			kind: 'submission', name, service: 'meals', team: 'office', idempotent: name === 'check', deadline: deadlineMs, expectedRun: 200,
		})),
	];
}
