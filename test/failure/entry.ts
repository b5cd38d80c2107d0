/**
 * An entry of a simulated run: the parts that decide, joined as the program joins them, over the simulated
 * network and platform.
 */
import {createHeldTaskQueries, recoverAnswer} from '../../src/connection/held-task-queries.js';
import {createLinkHub, type LinkHub} from '../../src/connection/link-server.js';
import {relaxedTiming} from '../../src/connection/link-timing.js';
import type {ConfigUpdate, EntryAddress, RelayReply} from '../../src/generated/kingcuplane.js';
import type {PeerRequest} from '../../src/connection/peer-hub.js';
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
import {createSubmissionRecords} from './submission-records.js';
import type {Journal} from './journal.js';
import type {SimulatedProcess} from './simulation.js';

/** Surroundings of the entry. */
export type SimulatedEntryHost = {
	readonly process: SimulatedProcess;
	readonly platform: Platform;
	readonly journal: Journal;
	readonly address: string;
	isLinked(incarnation: string): boolean;
	relay(incarnation: string, req: PeerRequest): Promise<RelayReply | undefined>;
	/** A number in [0, 1), for jitter. */
	random(): number;
	onDeclaredDead(): void;
	/** An answer for a dead entry's ticket stands. */
	onSettled(ticket: Ticket): Promise<void>;
};

/** One incarnation of an entry. */
export type SimulatedEntry = {
	readonly process: SimulatedProcess;
	readonly issuer: TicketIssuer;
	readonly coordinator: Coordinator;
	readonly router: Router;
	readonly directory: EntryDirectory;
	readonly links: LinkHub;
	getVersion(): number;
	isDraining(): boolean;
	/** Tasks counted against the team's quota. */
	getUsedQuota(): number;
	/** Takes no new work, and calls `done` with the open jobs once there are none or time is up. */
	drain(done: (openJobs: number) => void): void;
};

const drainMs: Milliseconds = 20_000;
const drainCheckMs: Milliseconds = 10;

/** Time for which entries hold their lease. */
export const leaseMs: Milliseconds = 2000;

/** Starts an entry whose incarnation is the name of its process. */
export function createSimulatedEntry(host: SimulatedEntryHost): SimulatedEntry {
	const {process, platform, journal} = host;
	const {clock, name: incarnation} = process;
	const self: EntryAddress = {name: host.address, incarnation, links: host.address};
	const follower = createPollingFollower({
		platform, clock, random: host.random, onDiagnostic: () => undefined,
	});
	let isDraining = false;
	let taken = 0;
	const fates = createSubmissionRecords(clock, incarnation, platform.objects);
	const issuer = createTicketIssuer({
		clock, incarnation, key: new Uint8Array(32), blockMs: 2000, lifetimeMs: 20_000,
	});
	const home = createCoordinator({
		clock,
		entry: host.address,
		issuer,
		recorder: fates.recorder,
		quota: {
			acquire(team, tasks, done) {
				const isFree = taken + tasks <= (follower.tryGet()?.teams.get(team)?.maxTasks ?? 0);
				taken += isFree ? tasks : 0;
				done(isFree);
			},
			release(_team, tasks) {
				taken -= tasks;
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
		sessions: home.sessions,
		scheduler: home.scheduler,
		tryGetConfig: agent => tryGetConfig(follower.tryGet(), agent.upstream),
		getEntries: directory.getLive,
		getFencedIncarnations: directory.getDead,
		isDraining: () => isDraining,
		onConfigVersion: () => undefined,
		onHeldReply(_agent, reply) {
			held.receive(reply);
		},
		defer(action) {
			clock.after(0, action);
		},
		after: clock.after,
		now: clock.now,
		heartbeatMs: relaxedTiming.heartbeatMs,
	});
	const settlements = createAgreedAnswerStore(platform.table);
	const held = createHeldTaskQueries({clock, timeoutMs: 500, broadcastQuery: links.broadcastQuery});
	const router = createRouter({
		clock,
		entry: host.address,
		incarnation,
		coordinator: home,
		directory,
		relay: host.relay,
		findRecord: fates.find,
		recover: async ticket => recoverAnswer(await held.query(ticket.text)),
		async proposeAnswer(ticket, proposal) {
			const settlement = await settlements.propose(ticket, proposal);
			if (settlement !== undefined) {
				await host.onSettled(ticket);
			}

			return settlement;
		},
		recordDelivery: fates.recorder.recordDelivery,
	});
	follower.onChange(snapshot => {
		journal.record({kind: 'in-force', process: incarnation, version: snapshot.version});
		home.applySnapshot(snapshot);
		links.scheduleBroadcast();
	});
	follower.start();

	every(clock, relaxedTiming.heartbeatMs, links.sendHeartbeats);
	return {
		process,
		issuer,
		coordinator: home,
		router,
		directory,
		links,
		getVersion: () => follower.tryGet()?.version ?? 0,
		isDraining: () => isDraining,
		getUsedQuota: () => taken,
		drain(done) {
			isDraining = true;
			links.scheduleBroadcast();
			const end = clock.now() + drainMs;
			const timer = every(clock, drainCheckMs, () => {
				if (home.getOpenJobs() === 0 || clock.now() > end) {
					timer.cancel();
					links.sendHeartbeats();
					void fates.recorder.flush().then(async () => directory.deregister()).then(() => {
						done(home.getOpenJobs());
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
