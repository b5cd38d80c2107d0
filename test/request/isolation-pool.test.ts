import type {AgentInfo, QueuedTask} from '../../src/connection/types.js';
import {createIsolationPool, type IsolationPool} from '../../src/request/isolation-pool.js';
import {applyStatus, createAgentView, type AgentView} from '../../src/request/resource-pool.js';
import {createRunningTasks, type RunningTasks} from '../../src/request/running-tasks.js';
import {describe, it} from '../describe.js';

const capacity = {cpu: 8000, memory: 1000, accelerators: 0};
const requirements = {resources: {cpu: 1000, memory: 1, accelerators: 0}};
const suspect: QueuedTask = {ticket: 'suspect', index: 0, attempt: 2};
const other: QueuedTask = {ticket: 'other', index: 0, attempt: 1};

function createAgents(count: number, labels: readonly string[] = [], running: RunningTasks = createRunningTasks()): Map<string, AgentView> {
	return new Map(Array.from({length: count}, (_, i) => {
		const info: AgentInfo = {
			incarnation: `a${i}-1`, name: `a${i}`, upstream: `u${i}`, service: 's', dataCentre: 'd', rack: 'r', slots: 1, capacity, labels,
		};
		const agent = createAgentView(info, running.getRunsOf(info.incarnation));
		reportFreeCpu(agent, capacity.cpu);
		return [info.incarnation, agent];
	}));
}

function reportFreeCpu(agent: AgentView, cpu: number): void {
	applyStatus(agent, {
		draining: false, running: 0, slots: 1, meanRun: 0, failedPerMille: 0, freeRoom: {...capacity, cpu}, receivedStarts: agent.sentStarts,
	}, 0);
}

function createPool(agents: ReadonlyMap<string, AgentView>, share: number): IsolationPool {
	return createIsolationPool({getIsolatedShare: () => share, mustIsolate: ({ticket}) => ticket === suspect.ticket}, 's', agents);
}

function getAllowed(pool: IsolationPool, agents: ReadonlyMap<string, AgentView>, task: QueuedTask): readonly string[] {
	const isAllowed = pool.createFilter(requirements, task);
	return [...agents.values()].filter(agent => isAllowed(agent)).map(({info}) => info.name);
}

// Pattern: a tenth of the jobs of one submission object crash their upstreams while the other jobs go on.
describe('agents reserved for tasks that may crash their upstream', () => {
	it('are a share of all, and run only such tasks', t => {
		const agents = createAgents(11);
		const pool = createPool(agents, 0.25);
		const forSuspect = getAllowed(pool, agents, suspect);
		const forOthers = getAllowed(pool, agents, other);
		t.is(forSuspect.length, 3);
		t.is(forOthers.length, 8);
		t.deepEqual(forSuspect.filter(name => forOthers.includes(name)), []);
	});

	it('are the same at every entry, and stay reserved while other agents come and go', t => {
		const agents = createAgents(11);
		const reserved = getAllowed(createPool(agents, 0.25), agents, suspect);
		const other_ = [...agents].find(([, {info}]) => !reserved.includes(info.name));
		const fewer = new Map([...agents].filter(([incarnation]) => incarnation !== other_![0]));
		const reordered = new Map([...fewer].toReversed());
		t.deepEqual(getAllowed(createPool(reordered, 0.25), reordered, suspect).toSorted(), reserved.toSorted());
	});

	it('are chosen again after an agent was added or removed', t => {
		const agents = createAgents(4);
		const pool = createPool(agents, 0.25);
		const [reserved] = getAllowed(pool, agents, suspect);
		const [incarnation] = [...agents].find(([, {info}]) => info.name === reserved)!;
		agents.delete(incarnation);
		pool.invalidate();
		t.is(getAllowed(pool, agents, suspect).length, 1);
	});

	it('run one job at a time', t => {
		const running = createRunningTasks();
		const agents = createAgents(4, [], running);
		const pool = createPool(agents, 0.25);
		const reserved = [...agents.values()].find(({info}) => getAllowed(pool, agents, suspect).includes(info.name))!;
		reportFreeCpu(reserved, capacity.cpu - 1000);
		t.deepEqual(getAllowed(pool, agents, suspect), [], 'a task of another entry still runs there');
		reportFreeCpu(reserved, capacity.cpu);
		running.recordStart(reserved.info, suspect.ticket);
		t.deepEqual(getAllowed(pool, agents, suspect), [reserved.info.name], 'further tasks of the same job');
		running.recordStart(reserved.info, other.ticket);
		t.deepEqual(getAllowed(pool, agents, suspect), []);
	});

	it('are none while nothing is suspect, and none of a single agent', t => {
		const agents = createAgents(4);
		t.is(getAllowed(createPool(agents, 0), agents, suspect).length, 4);
		const single = createAgents(1);
		t.is(getAllowed(createPool(single, 0.25), single, other).length, 1);
		t.is(getAllowed(createPool(single, 0.25), single, suspect).length, 1);
	});
});
