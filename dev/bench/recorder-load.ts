/**
 * Seeded load on a submission recorder, on any clock: jobs arrive, their tasks start and end, and answers are given and
 * delivered. Tickets come from a real issuer.
 */
import type {Clock, Milliseconds} from '../../src/process/clock.js';
import {createTicketIssuer} from '../../src/request/ticket.js';
import {createRandom, drawExponential} from '../random.js';
import type {SubmissionRecorder, SubmissionInfo, Ticket} from '../../src/request/types.js';

/** Parameters of the load. */
export type RecorderLoad = {
	readonly seed: number;
	readonly incarnation: string;
	/** Mean number of tasks that run at the same time. */
	readonly busySlots: number;
	/** Mean run time of a task; run times are exponential. */
	readonly meanRun: Milliseconds;
	/** Maximum number of tasks in a job; the number is uniform from 1. */
	readonly maxTasks: number;
	readonly blockMs: Milliseconds;
	readonly ticketLifetimeMs: Milliseconds;
	/** Maximum time for which a caller holds a ticket before it submits; the time is uniform. */
	readonly maxTicketHoldMs: Milliseconds;
};

/** Load of one of four entries: a quarter of 88 slots busy, jobs of 1 to 64 tasks of 0.5 s. */
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

/** Tickets of the load so far by state, and the number of accepted tasks. */
export type RecorderLoadLog = {
	readonly accepted: Ticket[];
	readonly refused: Ticket[];
	/** Time of the answer to each ticket. */
	readonly answeredAt: Map<string, Milliseconds>;
	readonly running: Map<string, Ticket>;
	tasks: number;
};

/** A running load. */
export type RunningLoad = {
	readonly log: RecorderLoadLog;
	/** Stops the arrival of jobs; jobs that run continue. */
	stop(): void;
};

/** Number of agents among which the attempts are distributed. */
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
	let isStopped = false;
	scheduleArrival();

	return {
		log,
		stop() {
			isStopped = true;
		},
	};

	function scheduleArrival(): void {
		clock.after(drawExponential(random, 1 / jobsPerMs), () => {
			if (isStopped) {
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
		let tasksLeft = taskCount;
		for (let index = 0; index < taskCount; index++) {
			runTask(ticket, index, onTaskEnded);
		}

		function onTaskEnded(): void {
			tasksLeft--;
			if (tasksLeft === 0) {
				answer(ticket);
			}
		}
	}

	function runTask(ticket: Ticket, index: number, onEnded: () => void): void {
		const agent = Math.floor(random() * agentCount);
		const runTime = drawExponential(random, load.meanRun);
		recorder.recordSent(ticket.text, index, {
			attempt: 1, agent: `kitchen-${agent}/${agent}f3a9`, upstream: `kitchen-${agent}`, sentAt: clock.wall(),
		});
		clock.after(runTime + 2, () => {
			recorder.recordEnded(ticket.text, index, 1, {
				endedAt: clock.wall(), outcome: 'completed', detail: '', runMs: Math.round(runTime),
			});
			onEnded();
		});
	}

	function answer(ticket: Ticket): void {
		recorder.recordAnswer(ticket.text, {state: 'complete', ran: 'ran', payloads: []});
		recorder.recordDelivery(ticket.text, 'makati-1');
		log.running.delete(ticket.text);
		log.answeredAt.set(ticket.text, clock.now());
	}
}

/** Creates the submission info of a job of the load. */
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
