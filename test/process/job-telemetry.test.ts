import type {Decision} from '../../src/request/coordinator-types.js';
import type {JobHandle} from '../../src/request/tracked-job.js';
import {createJobTelemetry} from '../../src/process/job-telemetry.js';
import {noMetrics} from '../../src/process/metrics.js';
import {describe, it} from '../describe.js';

type Line = Readonly<Record<string, unknown>>;

type Fixture = {
	readonly lines: Line[];
	decide(ticket: string, event: Decision['event']): void;
	answer(ticket: string): void;
	endTurn(): void;
};

function createFixture(): Fixture {
	const lines: Line[] = [];
	let deferred: Array<() => void> = [];
	const write = (fields: Line, msg: string) => {
		lines.push({...fields, msg});
	};

	const telemetry = createJobTelemetry({
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- one of the signatures of a log is used
		log: {info: write, warn: write} as unknown as Parameters<typeof createJobTelemetry>[0]['log'],
		metrics: noMetrics,
		defer: action => deferred.push(action),
	});
	return {
		lines,
		decide(ticket, event) {
			telemetry.onDecision!({ticket, reference: 'r', event});
		},
		answer(ticket) {
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the telemetry uses only these members
			telemetry.onAnswered({ticket: {text: ticket}, reference: 'r', taskCount: 1} as unknown as JobHandle, {state: 'complete', ran: 'ran'}, 10);
		},
		endTurn() {
			for (const action of deferred) {
				action();
			}

			deferred = [];
		},
	};
}

function createStart(index: number, agent: string): Decision['event'] {
	return {
		kind: 'started', index, attempt: 1, agent, upstream: 'u', waited: 5, newsAge: 3, isolated: false, backfilled: false,
	};
}

describe('job telemetry', () => {
	it('writes one line for the tasks of a job that are sent to the same agent', t => {
		const {lines, decide, endTurn} = createFixture();
		decide('t1', createStart(0, 'a'));
		decide('t1', createStart(1, 'a'));
		decide('t1', createStart(2, 'b'));
		decide('t2', createStart(0, 'b'));
		endTurn();
		t.deepEqual(lines.map(({ticket, indexes, agent, msg}) => ({
			ticket, indexes, agent, msg,
		})), [
			{
				ticket: 't1', indexes: [0, 1], agent: 'a', msg: 'tasks started',
			},
			{
				ticket: 't1', indexes: [2], agent: 'b', msg: 'tasks started',
			},
			{
				ticket: 't2', indexes: [0], agent: 'b', msg: 'tasks started',
			},
		]);
	});

	it('writes the start of a task before whatever follows it', t => {
		const {lines, decide, answer, endTurn} = createFixture();
		decide('t1', createStart(0, 'a'));
		answer('t1');
		decide('t2', createStart(0, 'a'));
		decide('t2', {
			kind: 'ended', index: 0, attempt: 1, agent: 'a', incarnation: 'a-1', upstream: 'u', outcome: 'refused', detail: '', next: 'refused', losses: 0,
		});
		endTurn();
		t.deepEqual(lines.map(({msg}) => msg), ['tasks started', 'job complete', 'tasks started', 'task ended']);
	});
});
