/**
 * A simulated upstream, which records every start in the journal. It continues to run when its agent dies.
 */
import {
	RefusalReason, TaskOutcome, type TaskStart,
} from '../../src/generated/kingcuplane.js';
import type {RunResult} from '../../src/connection/entry-sessions.js';
import type {UpstreamClient} from '../../src/request/upstream-client.js';
import type {Journal} from './journal.js';
import type {SimulatedProcess, Simulation} from './simulation.js';

/** How the upstream handles new requests. */
export type UpstreamMode = 'serving' | 'failing' | 'breaking' | 'refusing';

/** One upstream. */
export type SimulatedUpstream = {
	readonly name: string;
	mode: UpstreamMode;
	/** Share of tasks, from 0 to 1, that run for seconds, some of them longer than their timeout. */
	stragglerShare: number;
	/** Returns the number of running tasks. */
	getRunning(): number;
	/** Creates the client that an agent process uses to call the upstream. */
	createClient(agent: SimulatedProcess): UpstreamClient;
};

/** Creates an upstream whose tasks, except for stragglers, run for up to half a second. */
export function createSimulatedUpstream(sim: Simulation, journal: Journal, name: string): SimulatedUpstream {
	const {clock, random} = sim;
	let running = 0;
	const upstream: SimulatedUpstream = {
		name,
		mode: 'serving',
		stragglerShare: 0.02,
		getRunning: () => running,
		createClient: agent => ({
			run(start, done) {
				call(agent, start, done);
			},
			isReachable: async () => agent.deliver(wait(1).then(() => upstream.mode !== 'refusing')),
			close: async () => undefined,
		}),
	};
	return upstream;

	function call(agent: SimulatedProcess, start: TaskStart, done: (result: RunResult) => void): void {
		let isDone = false;
		const finish = (result: RunResult) => {
			agent.perform(() => {
				if (!isDone) {
					isDone = true;
					timer.cancel();
					done(result);
				}
			});
		};

		const timer = agent.clock.after(start.timeoutMs, () => {
			finish(createResult(TaskOutcome.TASK_OUTCOME_UNKNOWN, 'the upstream did not answer in time'));
		});
		clock.after(1, () => {
			if (upstream.mode === 'refusing') {
				finish(createResult(TaskOutcome.TASK_OUTCOME_REFUSED, ''));
			} else {
				receive(start, finish);
			}
		});
	}

	function receive(start: TaskStart, finish: (result: RunResult) => void): void {
		const {ticket, index} = start.task!;
		running++;
		journal.record({
			kind: 'started', upstream: name, ticket, index, attempt: start.attempt,
		});
		const {mode} = upstream;
		const runMs = random.chance(upstream.stragglerShare) ? random.integer(1000, 3000) : random.integer(20, 500);
		clock.after(mode === 'serving' ? runMs : 1, () => {
			running--;
			if (mode === 'breaking') {
				finish(createResult(TaskOutcome.TASK_OUTCOME_UNKNOWN, 'the connection broke'));
			} else if (mode === 'failing') {
				finish(createResult(TaskOutcome.TASK_OUTCOME_FAILED, 'status 500'));
			} else {
				finish({...createResult(TaskOutcome.TASK_OUTCOME_COMPLETED, ''), payload: start.payload, duration: runMs});
			}
		});
	}

	async function wait(ms: number): Promise<void> {
		return new Promise(resolve => {
			clock.after(ms, resolve);
		});
	}
}

function createResult(outcome: TaskOutcome, detail: string): RunResult {
	const reason = outcome === TaskOutcome.TASK_OUTCOME_REFUSED
		? RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE
		: RefusalReason.REFUSAL_REASON_UNSPECIFIED;
	return {
		outcome, reason, payload: new Uint8Array(), duration: 1, detail,
	};
}
