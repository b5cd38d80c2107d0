/**
 * A seeded load on a recorder: jobs arrive, their tasks start and end, answers are given and delivered, on
 * any clock. Tickets come from a real issuer.
 */
import type {Clock, Milliseconds} from '../../src/process/clock.js';
import {createTicketIssuer} from '../../src/request/ticket.js';
import {createRandom, drawExponential} from '../random.js';
import type {SubmissionRecorder, SubmissionInfo, Ticket} from '../../src/request/types.js';

/** What arrives. */
export type RecorderLoad = {
	readonly seed: number;
	readonly incarnation: string;
	/** Tasks running at the same time on average. */
	readonly busySlots: number;
	/** Mean run time of a task; run times are exponential. */
	readonly meanRun: Milliseconds;
	/** Sizes of jobs are uniform from 1 to this. */
	readonly maxTasks: number;
	readonly blockMs: Milliseconds;
	readonly ticketLifetimeMs: Milliseconds;
	/** Callers use a ticket after up to this time, uniform. */
	readonly maxTicketHoldMs: Milliseconds;
};

/** The load of one of four entries at today's size: a quarter of 88 slots busy, jobs of 1 to 64 tasks of 0.5 s. */
export const typicalEntryLoad: RecorderLoad = {
	seed: 1,
	incarnation: '42',
	busySlots: 22,
	meanRun: 500,
	maxTasks: 64,
	blockMs: 1000,
	ticketLifetimeMs: 600_000,
	maxTicketHoldMs: 0,
};

/** What the load did so far. */
export type RecorderLoadLog = {
	readonly accepted: Ticket[];
	readonly refused: Ticket[];
	/** When the answer to each ticket was given. */
	readonly answeredAt: Map<string, Milliseconds>;
	readonly running: Map<string, Ticket>;
	tasks: number;
};

/** A load that runs. */
export type RunningLoad = {
	readonly log: RecorderLoadLog;
	/** No more jobs arrive; those that run go on. */
	stop(): void;
};

/** Agents that the attempts name. */
const agentCount = 11;

/** Starts the load on a recorder. */
export function startRecorderLoad(clock: Clock, recorder: SubmissionRecorder, load: RecorderLoad): RunningLoad {
	const random = createRandom(load.seed);
	const issuer = createTicketIssuer({
		clock, incarnation: load.incarnation, key: new Uint8Array(32), blockMs: load.blockMs, lifetimeMs: load.ticketLifetimeMs,
	});
	const jobsPerMs = load.busySlots / load.meanRun / ((load.maxTasks + 1) / 2);
	const log: RecorderLoadLog = {
		accepted: [], refused: [], answeredAt: new Map(), running: new Map(), tasks: 0,
	};
	let stopped = false;
	scheduleArrival();

	return {
		log,
		stop() {
			stopped = true;
		},
	};

	function scheduleArrival(): void {
		clock.after(drawExponential(random, 1 / jobsPerMs), () => {
			if (stopped) {
				return;
			}

			const [ticket] = issuer.issue('caller', 1);
			clock.after(random() * load.maxTicketHoldMs, () => {
				submit(ticket!);
			});
			scheduleArrival();
		});
	}

	function submit(ticket: Ticket): void {
		const taskCount = 1 + Math.floor(random() * load.maxTasks);
		if (recorder.openRecord(createSubmissionInfo(ticket, taskCount, clock.wall())) !== undefined) {
			log.refused.push(ticket);
			return;
		}

		log.accepted.push(ticket);
		log.running.set(ticket.text, ticket);
		log.tasks += taskCount;
		runJob(ticket, taskCount);
	}

	function runJob(ticket: Ticket, taskCount: number): void {
		let left = taskCount;
		for (let index = 0; index < taskCount; index++) {
			runTask(ticket, index, ended);
		}

		function ended(): void {
			left--;
			if (left === 0) {
				answer(ticket);
			}
		}
	}

	function runTask(ticket: Ticket, index: number, ended: () => void): void {
		const agent = Math.floor(random() * agentCount);
		const run = drawExponential(random, load.meanRun);
		recorder.recordSent(ticket.text, index, {
			attempt: 1, agent: `kitchen-${agent}/${agent}f3a9`, upstream: `kitchen-${agent}`, sentAt: clock.wall(),
		});
		clock.after(run + 2, () => {
			recorder.recordEnded(ticket.text, index, 1, {
				endedAt: clock.wall(), outcome: 'completed', detail: '', runMs: Math.round(run),
			});
			ended();
		});
	}

	function answer(ticket: Ticket): void {
		recorder.recordAnswer(ticket.text, {state: 'complete', ran: 'ran', payloads: []});
		recorder.recordDelivery(ticket.text, 'makati-1');
		log.running.delete(ticket.text);
		log.answeredAt.set(ticket.text, clock.now());
	}
}

/** The facts of a job of the load. */
export function createSubmissionInfo(ticket: Ticket, taskCount: number, acceptedAt: Milliseconds): SubmissionInfo {
	return {
		ticket,
		entry: 'makati-1',
		caller: 'ordering-app',
		team: 'lunch',
		submission: 'confirm-order',
		service: 'ordering',
		reference: `order ${ticket.block}-${ticket.sequence}`,
		configVersion: 12,
		taskCount,
		acceptedAt,
	};
}
