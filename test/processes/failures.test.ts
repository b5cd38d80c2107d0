/**
 * Tests the complete system as processes under failures. The start counts of the simulated upstreams show what has run.
 */
import {startSystem, type System, type SystemOptions} from '../../dev/system.js';
import {describe, itSerial} from '../describe.js';
import {
	countStarts, createTestCaller, getEchoes, setUpstreamFaults, testObjects, getTraceOutput, waitForStarts, type TestCaller, type TestReply,
} from './test-caller.js';

const options: SystemOptions = {
	entries: 2, agents: 2, slots: 8, runTimes: 'fixed:50', seed: 1, service: 'ordering', objects: testObjects,
	entrySettings: 'leaseMs = 900\nagentGraceMs = 1500',
};

async function withSystem(overrides: Partial<SystemOptions>, body: (system: System, caller: TestCaller) => Promise<void>): Promise<void> {
	const system = await startSystem({...options, ...overrides});
	try {
		await body(system, createTestCaller(system));
	} finally {
		await system.stop();
	}
}

function createTasks(count: number): readonly string[] {
	return Array.from({length: count}, (_, i) => `payload ${i}`);
}

function getExpectedEchoes(ticket: string, tasks: readonly string[]): readonly string[] {
	return tasks.map((task, i) => `${ticket}/${i} ${task}`);
}

describe('processes', () => {
	describe('end to end', () => {
		itSerial('answers a job of 1,100 tasks over 11 agents with 8 slots, each task with its own answer', async t => {
			await withSystem({entries: 4, agents: 11}, async (system, caller) => {
				const tasks = createTasks(1100);
				const [ticket] = await caller.issueTickets(system.entries[0]!, 1);
				const reply = await caller.submit(system.entries[1]!, ticket!, tasks);
				t.is(reply.state, 'complete');
				t.deepEqual(getEchoes(reply), getExpectedEchoes(ticket!, tasks));
				t.deepEqual(await countStarts(system.agents), {total: 1100, greatest: 1});
			});
		});
	});

	describe('resubmission', () => {
		itSerial('to all entries at once and again after the answer gives one answer and one start of each task', async t => {
			await withSystem({}, async (system, caller) => {
				const tasks = createTasks(20);
				const [ticket] = await caller.issueTickets(system.entries[0]!, 1);
				const copies = [...system.entries, ...system.entries, ...system.entries];
				const replies = await Promise.all(copies.map(async entry => caller.submit(entry, ticket!, tasks)));
				replies.push(await caller.submit(system.entries[1]!, ticket!, tasks));
				for (const reply of replies) {
					t.deepEqual(getEchoes(reply), getExpectedEchoes(ticket!, tasks));
				}

				t.deepEqual(await countStarts(system.agents), {total: 20, greatest: 1});
			});
		});
	});

	describe('entry', () => {
		itSerial('killed while its tasks run: other entries answer with the results that the agents retain, and no task starts twice', async t => {
			await withSystem({entries: 3, runTimes: 'fixed:3000'}, async (system, caller) => {
				const [coordinator, ...others] = system.entries;
				const tickets = await caller.issueTickets(coordinator!, 12);
				const pending = tickets.map(async ticket => caller.submit(coordinator!, ticket, ['a']).catch(() => undefined));
				await waitForStarts(system.agents, 12);
				await coordinator!.program.kill();
				await Promise.all(pending);
				const replies = await Promise.all(tickets.map(async ticket => caller.submitUntilFinal(others, ticket, ['a'])));
				for (const [i, reply] of replies.entries()) {
					t.is(reply.state, 'complete', reply.diagnostic?.message);
					t.deepEqual(getEchoes(reply), [`${tickets[i]!}/0 a`]);
				}

				t.deepEqual(await countStarts(system.agents), {total: 12, greatest: 1});
			});
		});

		itSerial('killed with tasks waiting: the job fails as may-have-run and no task starts twice', async t => {
			await withSystem({runTimes: 'fixed:1000'}, async (system, caller) => {
				const [coordinator, other] = system.entries;
				const tasks = createTasks(100);
				const [ticket] = await caller.issueTickets(coordinator!, 1);
				const pending = caller.submit(coordinator!, ticket!, tasks).catch(() => undefined);
				await waitForStarts(system.agents, 16);
				await coordinator!.program.kill();
				await pending;
				const reply = await caller.submitUntilFinal([other!], ticket!, tasks);
				t.like(reply, {state: 'failed', ran: 'may-have-run', tasks: undefined});
				const {greatest} = await countStarts(system.agents);
				t.is(greatest, 1);
			});
		});

		itSerial('paused past its lease, then resumed: final answers do not contradict each other', async t => {
			await withSystem({runTimes: 'fixed:1000'}, async (system, caller) => {
				const [coordinator, other] = system.entries;
				const tasks = createTasks(40);
				const [ticket] = await caller.issueTickets(coordinator!, 1);
				const early = caller.submit(coordinator!, ticket!, tasks).catch(() => undefined);
				await waitForStarts(system.agents, 16);
				coordinator!.program.pause();
				const reply = await caller.submitUntilFinal([other!], ticket!, tasks);
				coordinator!.program.resume();
				const replies = [reply, await early, await caller.submitUntilFinal([other!, coordinator!], ticket!, tasks)];
				t.is(countDistinctFinalAnswers(replies), 1);
				const {greatest} = await countStarts(system.agents);
				t.is(greatest, 1);
			});
		});
	});

	describe('agent', () => {
		itSerial('killed with its upstream alive: no task starts twice and no answer claims not-run falsely', async t => {
			await withSystem({runTimes: 'fixed:3000'}, async (system, caller) => {
				const tickets = await caller.issueTickets(system.entries[0]!, 12);
				const pending = tickets.map(async ticket => caller.submit(system.entries[0]!, ticket, ['a']));
				await waitForStarts(system.agents, 12);
				await system.agents[0]!.program.kill();
				const replies = await Promise.all(pending);
				const unknown = replies.filter(reply => reply.ran === 'may-have-run');
				t.true(unknown.length > 0);
				t.is(replies.filter(reply => reply.state === 'complete').length, 12 - unknown.length);
				t.deepEqual(await countStarts(system.agents), {total: 12, greatest: 1});
			});
		});
	});

	describe('graceful shutdown', () => {
		itSerial('of an agent and an entry under load interrupts no job', async t => {
			await withSystem({entries: 2, agents: 3}, async (system, caller) => {
				const [stopping, remaining] = system.entries;
				const tickets = await caller.issueTickets(remaining!, 150);
				const stoppingTickets = await caller.issueTickets(stopping!, 50);
				const replies: Array<Promise<TestReply>> = [];
				for (const [i, ticket] of tickets.entries()) {
					replies.push(caller.submit(remaining!, ticket, ['a']));
					if (stoppingTickets[i] !== undefined) {
						replies.push(caller.submit(stopping!, stoppingTickets[i], ['a']));
					}

					if (i === 60) {
						void system.agents[0]!.program.stop();
						void stopping!.program.stop();
					}

					await delay(5);
				}

				const ended = await Promise.all(replies);
				// On a busy machine, a request that was sent before the signal may arrive after it. It is then refused and has not run.
				const refusedLate = ended.filter(({state, ran, diagnostic}) => state === 'refused' && ran === 'not-run' && diagnostic?.kind === 'EntryDraining');
				t.deepEqual(ended.filter(reply => reply.state !== 'complete' && !refusedLate.includes(reply)), []);
				t.deepEqual(await countStarts(system.agents), {total: 200 - refusedLate.length, greatest: 1});
			});
		});
	});

	describe('configuration', () => {
		itSerial('published once becomes active in every entry and agent', async t => {
			await withSystem({entries: 3}, async (system, caller) => {
				const version = await system.publish('[[team]]\nname = "dinner"\nmaxTasks = 10\n');
				await Promise.all(system.entries.map(async entry => caller.waitForVersion(entry, version, 5)));
				t.is(version, 2);
			});
		});
	});

	describe('submission record', () => {
		itSerial('of a finished, a refused, a cancelled and a failed job is returned by another entry', async t => {
			await withSystem({runTimes: 'fixed:100'}, async (system, caller) => {
				const [coordinator, other] = system.entries;
				const [finished, refused, cancelled, failed] = await caller.issueTickets(coordinator!, 4);
				await caller.submit(coordinator!, finished!, createTasks(3));
				await caller.submit(coordinator!, refused!, createTasks(1101));
				const pending = caller.submit(coordinator!, cancelled!, createTasks(200));
				await caller.cancel(coordinator!, cancelled!);
				await pending;
				await Promise.all(system.agents.map(async agent => setUpstreamFaults(agent, {failFast: true})));
				await caller.submit(coordinator!, failed!, createTasks(1));
				const traces = await Promise.all([finished, refused, cancelled, failed].map(async ticket => getTraceOutput(system, other!, ticket!)));
				t.regex(traces[0]!, /Conclusion +RAN ONCE: all 3 tasks ran exactly once, and the answer is complete/v);
				t.regex(traces[1]!, /Conclusion +NOT RUN: the submission was refused/v);
				t.regex(traces[2]!, /Cancelled .*by caller/v);
				t.regex(traces[2]!, /JobCancelled|was cancelled by caller/v);
				t.regex(traces[3]!, /Conclusion +RAN ONCE: .*the answer is failed/v);
			});
		});

		itSerial('shows no delivery to a caller that disconnected, and one after it submitted again', async t => {
			await withSystem({runTimes: 'fixed:800'}, async (system, caller) => {
				const [entry] = system.entries;
				const [ticket] = await caller.issueTickets(entry!, 1);
				await t.throwsAsync(caller.submit(entry!, ticket!, ['a'], AbortSignal.timeout(400)), {any: true});
				await waitForStarts(system.agents, 1);
				await delay(1200);
				t.is(await caller.countDeliveries(entry!, ticket!), 0);
				await caller.submit(entry!, ticket!, ['a']);
				t.is(await caller.countDeliveries(entry!, ticket!), 1);
			});
		});
	});

	describe('platform', () => {
		itSerial('unreachable: tickets, jobs and answers still work', async t => {
			await withSystem({}, async (system, caller) => {
				await fetch(`${system.platformUrl}/faults`, {method: 'POST', body: JSON.stringify({down: true})});
				await delay(2500);
				const tasks = createTasks(30);
				const [ticket] = await caller.issueTickets(system.entries[0]!, 1);
				const reply = await caller.submit(system.entries[1]!, ticket!, tasks);
				t.deepEqual(getEchoes(reply), getExpectedEchoes(ticket!, tasks));
			});
		});
	});
});

async function delay(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

function countDistinctFinalAnswers(replies: ReadonlyArray<TestReply | undefined>): number {
	const final = replies.filter(reply => reply !== undefined && reply.state !== 'running' && reply.diagnostic?.kind !== 'HomeUnreachable');
	return new Set(final.map(reply => `${reply!.state} ${reply!.ran}`)).size;
}
