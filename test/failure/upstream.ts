/**
 * A simulated upstream, which counts every start in the journal. It lives on when its agent dies.
 */
import {
	RefusalReason, TaskOutcome, type TaskStart,
} from '../../src/generated/kingcuplane.js';
import type {RunResult} from '../../src/connection/entry-sessions.js';
import type {UpstreamClient} from '../../src/request/upstream-client.js';
import type {Journal} from './journal.js';
import type {SimulatedProcess, Simulation} from './simulation.js';

/** How the upstream behaves for new requests. */
export type UpstreamMode = 'serving' | 'failing' | 'breaking' | 'refusing';

/** One upstream. */
export type SimulatedUpstream = {
	readonly name: string;
	mode: UpstreamMode;
	/** Share of tasks that run for seconds, some of them for longer than their time-out. */
	stragglerShare: number;
	/** Tasks that run now. */
	getRunning(): number;
	/** The caller that an agent process uses. */
	createCaller(agent: SimulatedProcess): UpstreamClient;
};

/** Creates an upstream whose tasks run for up to half a second, but for the stragglers. */
export function createSimulatedUpstream(sim: Simulation, journal: Journal, name: string): SimulatedUpstream {
	const {clock, random: dice} = sim;
	let running = 0;
	const upstream: SimulatedUpstream = {
		name,
		mode: 'serving',
		stragglerShare: 0.02,
		getRunning: () => running,
		createCaller: agent => ({
			run(start, done) {
				call(agent, start, done);
			},
			isReachable: async () => agent.deliver(wait(1).then(() => upstream.mode !== 'refusing')),
			close: async () => undefined,
		}),
	};
	return upstream;

	function call(agent: SimulatedProcess, start: TaskStart, done: (end: RunResult) => void): void {
		let isDone = false;
		const finish = (end: RunResult) => {
			agent.perform(() => {
				if (!isDone) {
					isDone = true;
					timer.cancel();
					done(end);
				}
			});
		};

		const timer = agent.clock.after(start.timeoutMs, () => {
			finish(createEnd(TaskOutcome.TASK_OUTCOME_UNKNOWN, 'the upstream did not answer in time'));
		});
		clock.after(1, () => {
			if (upstream.mode === 'refusing') {
				finish(createEnd(TaskOutcome.TASK_OUTCOME_REFUSED, ''));
			} else {
				receive(start, finish);
			}
		});
	}

	function receive(start: TaskStart, finish: (end: RunResult) => void): void {
		const {ticket, index} = start.task!;
		running++;
		journal.record({
			kind: 'started', upstream: name, ticket, index, attempt: start.attempt,
		});
		const {mode} = upstream;
		const runMs = dice.chance(upstream.stragglerShare) ? dice.integer(1000, 3000) : dice.integer(20, 500);
		clock.after(mode === 'serving' ? runMs : 1, () => {
			running--;
			if (mode === 'breaking') {
				finish(createEnd(TaskOutcome.TASK_OUTCOME_UNKNOWN, 'the connection broke'));
			} else if (mode === 'failing') {
				finish(createEnd(TaskOutcome.TASK_OUTCOME_FAILED, 'status 500'));
			} else {
				finish({...createEnd(TaskOutcome.TASK_OUTCOME_COMPLETED, ''), payload: start.payload, duration: runMs});
			}
		});
	}

	async function wait(ms: number): Promise<void> {
		return new Promise(resolve => {
			clock.after(ms, resolve);
		});
	}
}

function createEnd(outcome: TaskOutcome, detail: string): RunResult {
	const reason = outcome === TaskOutcome.TASK_OUTCOME_REFUSED
		? RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE
		: RefusalReason.REFUSAL_REASON_UNSPECIFIED;
	return {
		outcome, reason, payload: new Uint8Array(), duration: 1, detail,
	};
}
