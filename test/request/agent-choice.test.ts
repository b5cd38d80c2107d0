import type {QueuedJob} from '../../src/connection/types.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {createAgentChoice} from '../../src/request/agent-choice.js';
import {createAgentView, type AgentView} from '../../src/request/resource-pool.js';
import {createUpstreamSpeeds} from '../../src/request/upstream-speed.js';
import {createRunningTasks} from '../../src/request/running-tasks.js';
import {describe, it} from '../describe.js';

const startedAt = 1000;

const noRuns = createRunningTasks().getRunsOf('');

/** Creates an agent with free resources whose runs take `ratio` times as long as declared. */
function createAgent(name: string, ratio: number | undefined, {freeCores = 32, age = 0}: {readonly freeCores?: number; readonly age?: Milliseconds} = {}): AgentView {
	return {
		...createAgentView({
			incarnation: name, name, upstream: name, service: 's', dataCentre: '', rack: '', slots: 1,
		}, noRuns),
		reportedFreeResources: {cpu: freeCores * 1000, memory: 0, accelerators: 0},
		reportedAt: startedAt - age,
		runTimeRatio: ratio,
	};
}

/** Returns the names of the agents that are chosen for a job that has waited for a while. */
function getChosen(all: readonly AgentView[], fitting: readonly AgentView[], expectedRun: Milliseconds, waited: Milliseconds = 0): readonly string[] {
	const clock = createFakeClock(startedAt);
	const speeds = createUpstreamSpeeds(new Map(all.map(agent => [agent.info.name, agent])));
	const job: QueuedJob = {
		ticket: 't', service: 's', team: '', taskCount: 1, expectedRun, arrivedAt: startedAt - waited, deadlineAt: startedAt + 10_000, objective: {stretch: 1.6, margin: 60},
	};
	const names = new Set<string>();
	for (let step = 0; step < 100; step++) {
		// The two candidates are every pair of ten positions in turn.
		let isFirst = true;
		const choice = createAgentChoice({
			clock, random() {
				const position = isFirst ? step % 10 : Math.floor(step / 10);
				isFirst = false;
				return position / 10;
			},
		});
		names.add(choice.choose(fitting, {job, packedAgents: new Set(), speeds})?.info.name ?? 'none');
	}

	return [...names].toSorted();
}

describe('agent choice', () => {
	describe('where a third of the upstreams takes 2.4 times as long as the others', () => {
		const fast = createAgent('fast', 0.7);
		const other = createAgent('other', 0.7);
		const slow = createAgent('slow', 1.7);
		const all = [fast, other, slow];

		it('starts long jobs on the fast upstreams', t => {
			t.deepEqual(getChosen(all, all, 1086), ['fast', 'other']);
		});

		it('starts short jobs on all of them, so that the fast ones are not crowded', t => {
			t.deepEqual(getChosen(all, all, 73), ['fast', 'other', 'slow']);
		});

		it('starts a short job that has waited on the fast upstreams', t => {
			t.deepEqual(getChosen(all, all, 73, 45), ['fast', 'other']);
		});

		it('lets a long job wait while only slow upstreams have free resources', t => {
			t.deepEqual(getChosen(all, [slow], 1086), ['none']);
		});

		it('starts a long job on a slow upstream, late but useful, once it would be late at nominal speed', t => {
			t.deepEqual(getChosen(all, [slow], 1086, 720), ['slow']);
		});

		it('starts a job that would be late everywhere where there are free resources', t => {
			t.deepEqual(getChosen(all, all, 73, 300), ['fast', 'other', 'slow']);
		});
	});

	describe('where a third of the upstreams takes 1.3 times as long', () => {
		const fast = createAgent('fast', 1);
		const other = createAgent('other', 1);
		const slow = createAgent('slow', 1.3);
		const all = [fast, other, slow];

		it('starts jobs of any length on all of them, as each is in time everywhere', t => {
			for (const expectedRun of [86, 286, 1286]) {
				t.deepEqual(getChosen(all, all, expectedRun), ['fast', 'other', 'slow']);
			}
		});

		it('does not let a short job wait for a fast upstream that it would probably not need', t => {
			t.deepEqual(getChosen(all, [slow], 86, 30), ['slow']);
		});

		it('does not let a short job wait that would be late before a fast upstream has free resources', t => {
			t.deepEqual(getChosen(all, [slow], 86, 85), ['slow']);
		});

		it('lets a long job wait that would be late on a slow upstream', t => {
			t.deepEqual(getChosen(all, [slow], 1286, 500), ['none']);
		});
	});

	it('takes free resources alone into account while upstreams hardly differ', t => {
		const all = [createAgent('a', 1), createAgent('b', 1.1), createAgent('c', 1.12)];
		t.deepEqual(getChosen(all, all, 1086, 600), ['a', 'b', 'c']);
		t.deepEqual(getChosen(all, all.slice(2), 1086, 700), ['c']);
	});

	it('prefers the youngest reports, as other entries have used least of what was free', t => {
		const [young, older, old] = [createAgent('young', 1, {age: 5, freeCores: 4}), createAgent('older', 1, {age: 50}), createAgent('old', 1, {age: 500})];
		t.deepEqual(getChosen([young, older, old], [young, older, old], 73), ['young']);
		t.deepEqual(getChosen([young, older, old], [older, old], 73), ['older']);
		t.deepEqual(getChosen([young, older, old], [old], 73), ['old']);
	});
});
