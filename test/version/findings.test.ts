import {createSnapshot} from '../../src/version/snapshot.js';
import {findConfigProblems} from '../../src/version/findings.js';
import type {Route, Snapshot} from '../../src/version/types.js';
import {describe, it} from '../describe.js';
import {parseChanges, sampleObjectsToml} from './fixtures.js';

const route: Route = {
	host: 'h', pathPrefix: '/a/', submission: 'confirm', deadline: 1500, attempts: 2, stretch: 1.6, margin: 60, priority: 0,
};

function createSample(more = '', routes: readonly Route[] = [route]): Snapshot {
	const objects = parseChanges(sampleObjectsToml + more).flatMap(change => change.kind === 'put' ? [change.object] : []);
	return {...createSnapshot(1, objects), routes};
}

function findKinds(snapshot: Snapshot): readonly string[] {
	return findConfigProblems(snapshot).map(({diagnostic}) => diagnostic.kind);
}

describe('findings in a valid configuration', () => {
	it('are none if every object is used and every limit takes effect', t => {
		t.deepEqual(findConfigProblems(createSample()), []);
	});

	describe('objects that nothing refers to', () => {
		it('are policies, services and teams', t => {
			const findings = findConfigProblems(createSample('[[policy]]\nname = "p"\n[[team]]\nname = "t"\nmaxTasks = 5000\n[[service]]\nname = "s"\npolicy = "default"\n'));
			t.deepEqual(findings.map(({object}) => object?.name), ['p', 's', 't']);
			t.true(findings.every(({diagnostic}) => diagnostic.kind === 'ObjectUnused'));
		});
	});

	describe('limits that contradict each other', () => {
		it('are those by which the largest jobs are always refused', t => {
			t.deepEqual(findKinds(createSample('[[service]]\nname = "s"\npolicy = "default"\nmaxTasksPerJob = 20000\n[[submission]]\nname = "x"\nservice = "s"\nteam = "lunch"\n')), ['LargestJobsRefused', 'LargestJobsRefused']);
		});

		it('are times of which a shorter one applies, and runs that are ended before they are done', t => {
			const submission = (fields: string) => `[[submission]]\nname = "x"\nservice = "ordering"\nteam = "lunch"\n${fields}\n`;
			t.deepEqual(findKinds(createSample(submission('deadlineMs = 60000'))), ['LimitWithoutEffect']);
			t.deepEqual(findKinds(createSample(submission('deadlineMs = 30000\nexpectedRunMs = 30000'))), []);
			t.deepEqual(findKinds(createSample(submission('deadlineMs = 60000\nexpectedRunMs = 40000'))), ['LimitWithoutEffect', 'RunTimeExceedsTimeout']);
		});
	});

	describe('routes', () => {
		it('never match behind one with the same host and prefix', t => {
			t.deepEqual(findKinds(createSample('', [route, {...route, pathPrefix: '/a/b/'}, {...route, host: 'g'}])), []);
			const [finding] = findConfigProblems(createSample('', [route, {...route, submission: 'other'}]));
			t.is(finding?.diagnostic.kind, 'RouteNeverMatches');
			t.regex(finding!.diagnostic.message, /other never matches.*confirm/v);
		});

		it('never match if no path begins with their prefix', t => {
			t.deepEqual(findKinds(createSample('', [{...route, pathPrefix: 'a/'}])), ['PathPrefixNeverMatches']);
		});

		it('can have limits that have no effect', t => {
			t.deepEqual(findKinds(createSample('', [{...route, attempts: 0, margin: 2000}])), ['RouteAllowsNoAttempt', 'ObjectiveExceedsDeadline']);
		});
	});
});
