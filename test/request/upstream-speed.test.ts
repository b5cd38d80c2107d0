import {createAgentView, type AgentView} from '../../src/request/resource-pool.js';
import {applyRunTimeRatio, createUpstreamSpeeds} from '../../src/request/upstream-speed.js';
import {createRunningTasks} from '../../src/request/running-tasks.js';
import {describe, it} from '../describe.js';

const noRuns = createRunningTasks().getRunsOf('');

function createAgents(ratios: ReadonlyArray<number | undefined>): ReadonlyMap<string, AgentView> {
	return new Map(ratios.map((runTimeRatio, index) => [String(index), {
		...createAgentView({
			incarnation: String(index), name: String(index), upstream: '', service: 's', dataCentre: '', rack: '', slots: 1,
		}, noRuns),
		runTimeRatio,
	}]));
}

const getSpeeds = (...ratios: ReadonlyArray<number | undefined>) => createUpstreamSpeeds(createAgents(ratios));

describe('upstream speeds', () => {
	it('count as equal while no upstream is known to be much slower than the median', t => {
		for (const ratios of [[], [1.7], [undefined, undefined, 1], [1, 1.1, 0.95, 1.05, 1.12], [1.7, 1.7, 1.7, 0.7]]) {
			const agents = createAgents(ratios);
			const speeds = createUpstreamSpeeds(agents);
			t.false(speeds.isUneven(), String(ratios));
			t.is(speeds.getLowestRatio(), 1);
			t.true([...agents.values()].every(agent => speeds.getRunTimeRatio(agent) === 1));
		}
	});

	it('differ if a third of the upstreams is slower by 30 %, or a single one is far slower', t => {
		t.true(getSpeeds(1, 1, 1.3, 1, 1, 1.3).isUneven());
		t.true(getSpeeds(...Array.from({length: 50}, () => 1), 1.7).isUneven());
	});

	it('do not differ because the estimate of one upstream is off after a few runs', t => {
		t.false(getSpeeds(...Array.from({length: 50}, (_, index) => 0.92 + (index % 5 * 0.04)), 1.25).isUneven());
	});

	it('are the reported ratios, and the median for an upstream without one', t => {
		const agents = createAgents([0.7, 1.7, undefined, 0.7]);
		const speeds = createUpstreamSpeeds(agents);
		t.deepEqual([...agents.values()].map(agent => speeds.getRunTimeRatio(agent)), [0.7, 1.7, 0.7, 0.7]);
		t.is(speeds.getLowestRatio(), 0.7);
	});

	it('are compared again after a noticeable change only', t => {
		const agents = createAgents([1, 1, 1]);
		const speeds = createUpstreamSpeeds(agents);
		t.false(speeds.isUneven());
		t.false(applyRunTimeRatio(agents.get('2')!, 1020));
		t.true(applyRunTimeRatio(agents.get('2')!, 1600));
		speeds.invalidate();
		t.true(speeds.isUneven());
		t.true(applyRunTimeRatio(agents.get('2')!, 0));
		speeds.invalidate();
		t.false(speeds.isUneven());
	});
});
