/**
 * An entry of a simulated run: its decision-making parts, connected as in the program, on the simulated network and
 * platform.
 */
import {createHeldTaskQueries, recoverAnswer} from '../../src/connection/held-task-queries.js';
import {createLinkHub, type LinkHub} from '../../src/connection/link-server.js';
import {relaxedTiming} from '../../src/connection/link-timing.js';
import type {ConfigUpdate, EntryAddress, RelayReply} from '../../src/generated/kingcuplane.js';
import type {PeerRequest} from '../../src/connection/peer-types.js';
import {every, type Milliseconds} from '../../src/process/clock.js';
import {createEntryDirectory, type EntryDirectory} from '../../src/process/entry-directory.js';
import type {Platform} from '../../src/process/platform/types.js';
import {createCoordinator} from '../../src/request/coordinator.js';
import type {Coordinator} from '../../src/request/coordinator-types.js';
import {createRouter, type Router} from '../../src/request/router.js';
import {createAgreedAnswerStore} from '../../src/request/agreed-answers.js';
import {createTicketIssuer, type TicketIssuer} from '../../src/request/ticket.js';
import type {Ticket} from '../../src/request/types.js';
import {createPollingFollower} from '../../src/version/polling-follower.js';
import type {Snapshot} from '../../src/version/types.js';
import {silentLog} from '../silent-log.js';
import {createSubmissionRecords} from './submission-records.js';
import type {Journal} from './journal.js';
import type {SimulatedProcess} from './simulation.js';

/** Dependencies of the simulated entry. */
export type SimulatedEntryHost = {
	readonly process: SimulatedProcess;
	readonly platform: Platform;
	readonly journal: Journal;
	readonly address: string;
	/** Whether the entry is linked to this entry incarnation. */
	isLinked(incarnation: string): boolean;
	/** Relays a request to another entry; resolves to undefined if it does not answer. */
	relay(incarnation: string, req: PeerRequest): Promise<RelayReply | undefined>;
	/** Returns a number in [0, 1) for jitter. */
	random(): number;
	/** Called when the entry learns that it was declared dead. */
	onDeclaredDead(): void;
	/** Called when the entries have agreed on an answer to a ticket of a dead entry. */
	onAnswerAgreed(ticket: Ticket): Promise<void>;
};

/** One incarnation of an entry. */
export type SimulatedEntry = {
	readonly process: SimulatedProcess;
	readonly issuer: TicketIssuer;
	readonly coordinator: Coordinator;
	readonly router: Router;
	readonly directory: EntryDirectory;
	readonly links: LinkHub;
	/** Returns the active configuration version. */
	getVersion(): number;
	isDraining(): boolean;
	/** Returns the number of tasks that count against the team's quota. */
	getUsedQuota(): number;
	/** Stops accepting jobs, and calls `done` with the number of open jobs when there are none left or after a timeout. */
	drain(done: (openJobs: number) => void): void;
};

/** Address in the rows of all entries, which nothing connects to. */
const simulatedAddress = '10.0.0.1:7720';
const drainMs: Milliseconds = 20_000;
const drainCheckMs: Milliseconds = 10;

/** Duration of the lease of an entry. */
export const leaseMs: Milliseconds = 2000;

/** Starts an entry whose incarnation is the name of its process. */
export function createSimulatedEntry(host: SimulatedEntryHost): SimulatedEntry {
	const {process, platform, journal} = host;
	const {clock, name: incarnation} = process;
	const self: EntryAddress = {name: host.address, incarnation, links: simulatedAddress};
	const follower = createPollingFollower({
		platform, clock, random: host.random, onDiagnostic: () => undefined,
	});
	let isDraining = false;
	let usedQuota = 0;
	const records = createSubmissionRecords(clock, incarnation, platform.objects);
	const issuer = createTicketIssuer({
		clock, incarnation, key: new Uint8Array(32), blockMs: 2000, lifetimeMs: 20_000,
	});
	const coordinator = createCoordinator({
		clock,
		entry: host.address,
		issuer,
		recorder: records.recorder,
		quota: {
			acquire(team, tasks, done) {
				const isFree = usedQuota + tasks <= (follower.tryGet()?.teams.get(team)?.maxTasks ?? 0);
				usedQuota += isFree ? tasks : 0;
				done(isFree);
			},
			release(_team, tasks) {
				usedQuota -= tasks;
			},
		},
		agentGraceMs: 3000,
		answerKeepMs: 8000,
		maxTasks: 100,
		tryGetSnapshot: follower.tryGet,
		isDraining: () => isDraining,
		sendStart(agent, start) {
			links.sendStart(agent, start);
		},
		sendStop(agent, stop) {
			links.sendStop(agent, stop);
		},
		onDemandChanged(agent) {
			links.scheduleReport(agent);
		},
		acknowledge(agent) {
			links.scheduleAck(agent);
		},
		onAnswered: () => undefined,
	});
	const directory = createEntryDirectory({
		clock,
		table: platform.table,
		log: silentLog,
		self,
		leaseMs,
		isLinked: host.isLinked,
		onChanged() {
			links.scheduleBroadcast();
		},
		onDeclaredDead: host.onDeclaredDead,
	});
	const links = createLinkHub({
		entry: host.address,
		incarnation,
		sessions: coordinator.sessions,
		scheduler: coordinator.scheduler,
		tryGetConfig: agent => tryGetConfig(follower.tryGet(), agent.upstream),
		// The simulated network knows entries by their names.
		getEntries: () => directory.getLive().map(entry => ({...entry, links: entry.name})),
		getFencedIncarnations: directory.getDead,
		isDraining: () => isDraining,
		onConfigVersion: () => undefined,
		onHeldReply(_agent, reply) {
			heldTaskQueries.receive(reply);
		},
		defer(action) {
			clock.after(0, action);
		},
		clock,
		timing: relaxedTiming,
	});
	const agreedAnswers = createAgreedAnswerStore(platform.table, silentLog);
	const heldTaskQueries = createHeldTaskQueries({clock, timeoutMs: 500, broadcastQuery: links.broadcastQuery});
	const router = createRouter({
		clock,
		entry: host.address,
		incarnation,
		coordinator,
		directory,
		relay: host.relay,
		findRecord: records.find,
		recover: async ticket => recoverAnswer(await heldTaskQueries.query(ticket.text)),
		async proposeAnswer(ticket, proposal) {
			const agreedAnswer = await agreedAnswers.propose(ticket, proposal);
			if (agreedAnswer !== undefined) {
				await host.onAnswerAgreed(ticket);
			}

			return agreedAnswer;
		},
		recordDelivery: records.recorder.recordDelivery,
	});
	follower.onChange(snapshot => {
		journal.record({kind: 'in-force', process: incarnation, version: snapshot.version});
		coordinator.applySnapshot(snapshot);
		links.scheduleBroadcast();
	});
	follower.start();

	every(clock, relaxedTiming.heartbeatMs, links.sendHeartbeats);
	return {
		process,
		issuer,
		coordinator,
		router,
		directory,
		links,
		getVersion: () => follower.tryGet()?.version ?? 0,
		isDraining: () => isDraining,
		getUsedQuota: () => usedQuota,
		drain(done) {
			isDraining = true;
			links.scheduleBroadcast();
			const end = clock.now() + drainMs;
			const timer = every(clock, drainCheckMs, () => {
				if (coordinator.getOpenJobs() === 0 || clock.now() > end) {
					timer.cancel();
					links.sendHeartbeats();
					void records.recorder.flush().then(async () => directory.deregister()).then(() => {
						done(coordinator.getOpenJobs());
					});
				}
			});
		},
	};
}

function tryGetConfig(snapshot: Snapshot | undefined, name: string): ConfigUpdate | undefined {
	const upstream = snapshot?.upstreams.get(name);
	return upstream && {
		version: snapshot!.version, slots: upstream.slots, taskTimeoutMs: 0, drain: upstream.drain,
	};
}
