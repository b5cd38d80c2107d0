/**
 * The entry: the process that callers and operators reach over HTTP. It issues tickets, is the home of the
 * submissions sent under them, and leads every other request to its home.
 */
import {createHeldTaskQueries, recoverAnswer} from '../connection/held-task-queries.js';
import {createLinkHub} from '../connection/link-server.js';
import {relaxedTiming} from '../connection/link-timing.js';
import {createPeerHub} from '../connection/peer-hub.js';
import {createQuotaShares, shareReportIntervalMs} from '../connection/quota-shares.js';
import type {AgentInfo} from '../connection/types.js';
import type {
	ConfigUpdate, EntryAddress, PeerState, RelayReply,
} from '../generated/kingcuplane.js';
import {toRecordReportJson} from '../request/record-json.js';
import {createRecordLookup} from '../request/record-lookup.js';
import {createCoordinator} from '../request/coordinator.js';
import {createRouter, type FoundRecord} from '../request/router.js';
import {createAgreedAnswerStore} from '../request/agreed-answers.js';
import {createTicketIssuer} from '../request/ticket.js';
import type {Ticket} from '../request/types.js';
import type {Snapshot} from '../version/types.js';
import {formatAddress} from './address.js';
import {
	every, sleep, type Milliseconds, type Timer,
} from './clock.js';
import {createEntryDirectory} from './entry-directory.js';
import {createHttpApi} from './http-api.js';
import {createJobTelemetry} from './job-telemetry.js';
import {holdStartsAfterPauses} from './start-hold.js';
import type {
	EntryHost, Entry, DrainReport, ProcessStatus,
} from './entry-types.js';

/** Operation of a request between entries for the configuration in force. */
const snapshotOperation = 'snapshot';
const snapshotTimeoutMs: Milliseconds = 2000;
const restateMs: Milliseconds = 1000;
const gaugeMs: Milliseconds = 1000;
const heldTimeoutMs: Milliseconds = 500;
const drainCheckMs: Milliseconds = 10;
/** Time for which a draining entry still answers before it closes its port, so that the balancer turns away. */
const refusalNoticeMs: Milliseconds = 500;
const maxTickets = 1000;

/** Composes an entry. */
export function createEntry(host: EntryHost): Entry {
	const {clock, settings, incarnation, follower} = host;
	const limits = settings.entry;
	const {timing = relaxedTiming} = host;
	const self: EntryAddress = {name: settings.name, incarnation, links: formatAddress(settings.advertise.links)};
	const agentVersions = new Map<string, number>();
	const peerStates = new Map<string, PeerState>();
	let isDraining = false;
	let isLeaving = false;
	let leavesAt = Infinity;
	let isTakingVersion = false;

	const issuer = createTicketIssuer({
		clock, incarnation, key: host.ticketKey, blockMs: limits.blockMs, lifetimeMs: limits.ticketLifetimeMs,
	});
	const shares = createQuotaShares({
		clock,
		self: incarnation,
		getLiveEntries: () => directory.getLive().map(entry => entry.incarnation),
		getLimit: team => follower.tryGet()?.teams.get(team)?.maxTasks ?? 0,
		send(entry, news) {
			peers.sendShares(entry, {...news, reports: [...news.reports], grants: [...news.grants]});
		},
	});
	const home = createCoordinator({
		clock,
		entry: settings.name,
		issuer,
		recorder: host.recorder,
		quota: host.quota ?? shares,
		agentGraceMs: timing.closedGraceMs ?? limits.agentGraceMs,
		silentGraceMs: timing.silentGraceMs,
		answerKeepMs: limits.answerKeepMs,
		maxTasks: limits.maxTasks,
		tryGetSnapshot: follower.tryGet,
		isDraining: () => isDraining,
		sendStart(agent, start) {
			links.sendStart(agent, start);
		},
		onDemandChanged(agent) {
			links.scheduleReport(agent);
		},
		sendStop(agent, stop) {
			links.sendStop(agent, stop);
		},
		acknowledge(agent) {
			links.scheduleAck(agent);
		},
		createScheduler: host.createScheduler,
		endsEarlierIncarnations: host.createScheduler !== undefined,
		...createJobTelemetry(host),
	});
	const directory = createEntryDirectory({
		clock,
		table: host.platform.table,
		self,
		leaseMs: limits.leaseMs,
		isLinked: other => peers.isLinked(other),
		onChanged: updateAddresses,
		onDeclaredDead: host.onDeclaredDead,
	});
	const links = createLinkHub({
		entry: settings.name,
		incarnation,
		sessions: home.sessions,
		scheduler: home.scheduler,
		tryGetConfig: agent => tryGetConfig(follower.tryGet(), agent),
		getEntries: directory.getLive,
		getFencedIncarnations: directory.getDead,
		isDraining: () => isDraining,
		onConfigVersion(agent, version) {
			agentVersions.set(agent.incarnation, version);
		},
		onHeldReply(_agent, reply) {
			held.receive(reply);
		},
		defer: host.defer,
		after: clock.after,
		silenceTimeoutMs: timing.silenceTimeoutMs,
		heartbeatMs: timing.heartbeatMs,
		now: clock.now,
		onBatchReceived: host.pauseDetector?.check,
		onLinkChanged(agent, change) {
			host.log.info({
				agent: agent.name, incarnation: agent.incarnation, upstream: agent.upstream, ...change,
			}, `link ${change.kind}`);
		},
	});
	const held = createHeldTaskQueries({clock, timeoutMs: heldTimeoutMs, broadcastQuery: links.broadcastQuery});
	const peers = createPeerHub({
		clock,
		self,
		serveRequest: async req => req.operation === snapshotOperation ? serveSnapshot() : router.serveRelayed(req),
		getState,
		receiveState(peer, state) {
			peerStates.set(peer.incarnation, state);
			directory.addReported([peer, ...state.entries]);
			void takeNewerVersion(peer, state.configVersion);
		},
		receiveShares(peer, news) {
			shares.receive(peer.incarnation, news);
		},
		onPeerConnected(peer) {
			shares.resynchronize(peer.incarnation);
		},
		onLinksChanged: updateAddresses,
	});
	const lookup = createRecordLookup({
		incarnation,
		recorder: host.recorder,
		getObject: host.platform.objects.get,
		// The router has asked the home before it looks the record up.
		queryCoordinator: async ticket => ({kind: directory.getStatus(ticket.incarnation) === 'dead' ? 'lost' : 'unreachable'}),
		queryAgents: async ticket => held.query(ticket.text),
	});
	const settlements = createAgreedAnswerStore(host.platform.table);
	const router = createRouter({
		clock,
		entry: settings.name,
		incarnation,
		coordinator: home,
		directory,
		relay: peers.request,
		findRecord: findFate,
		recover: async ticket => recoverAnswer(await held.query(ticket.text)),
		proposeAnswer: settlements.propose,
		recordDelivery: host.recorder.recordDelivery,
	});
	const http = createHttpApi({
		clock,
		router,
		maxBodyBytes: limits.maxBodyBytes,
		maxTickets,
		maxWaitMs: limits.maxWaitMs,
		ticketLifetimeMs: limits.ticketLifetimeMs,
		authenticate: host.authenticate,
		issueTickets: issuer.issue,
		isReady,
		getStatus,
		logError(err) {
			host.log.error({err}, 'request failed unexpectedly');
		},
		onRequestServed(route, status, duration) {
			host.metrics.time('http.request', duration, {route, status: String(status)});
		},
	});

	const timers = [
		every(clock, restateMs, () => {
			peers.broadcastState(false);
		}),
		every(clock, shareReportIntervalMs, shares.tick),
		every(clock, timing.heartbeatMs, links.sendHeartbeats),
		every(clock, gaugeMs, stateGauges),
	];
	if (host.pauseDetector !== undefined) {
		holdStartsAfterPauses({
			clock, scheduler: home.scheduler, pauseDetector: host.pauseDetector, log: host.log,
		});
	}

	follower.onChange(applySnapshot);
	const present = follower.tryGet();
	if (present !== undefined) {
		applySnapshot(present);
	}

	peers.setAddresses(settings.entry.seeds.map(seed => formatAddress(seed)));

	return {
		coordinator: home,
		issueTicket: owner => issuer.issue(owner, 1)[0]!,
		isShuttingDown: () => isLeaving,
		getRemainingDrainTime: () => leavesAt - clock.now(),
		getOpenLinkCount: links.getLinkCount,
		http, links: links.service, peers: peers.service, drain, stop,
	};

	// A peer may have a version before this entry can read it, as in an outage of the platform.
	async function takeNewerVersion(peer: EntryAddress, version: number): Promise<void> {
		if (isTakingVersion || version <= (follower.tryGet()?.version ?? 0)) {
			return;
		}

		isTakingVersion = true;
		const reply = await peers.request(peer.incarnation, {
			operation: snapshotOperation, ticket: '', principal: '', body: new Uint8Array(), timeoutMs: snapshotTimeoutMs,
		});
		isTakingVersion = false;
		if (reply?.status === 200) {
			follower.offer(reply.body);
		}
	}

	function serveSnapshot(): Omit<RelayReply, 'id'> {
		const bytes = follower.tryGetEncoded();
		return {status: bytes === undefined ? 404 : 200, body: bytes ?? new Uint8Array(), retryAfterMs: 0};
	}

	async function findFate(ticket: Ticket): Promise<FoundRecord | 'unreadable' | undefined> {
		const report = await lookup.find(ticket);
		if (report.fate !== undefined) {
			return {fate: report.fate, json: toRecordReportJson(report)};
		}

		return report.mayChange ? 'unreadable' : undefined;
	}

	function applySnapshot(snapshot: Snapshot): void {
		home.applySnapshot(snapshot);
		links.scheduleBroadcast();
		peers.broadcastState(false);
		host.log.info({configVersion: snapshot.version}, 'configuration in force');
	}

	function updateAddresses(): void {
		const addresses = [...directory.getLive().map(entry => entry.links), ...settings.entry.seeds.map(seed => formatAddress(seed))];
		peers.setAddresses(addresses);
		links.scheduleBroadcast();
		peers.broadcastState(true);
	}

	function getState(isFull: boolean): PeerState {
		return {
			configVersion: follower.tryGet()?.version ?? 0,
			draining: isDraining,
			entries: isFull ? [...peers.getLinkedPeers()] : [],
		};
	}

	function isReady(): boolean {
		return !isLeaving && follower.tryGet() !== undefined && directory.isRegistered() && host.areTokensLoaded();
	}

	function getStatus(): {readonly processes: readonly ProcessStatus[]} {
		const processes: ProcessStatus[] = [{
			role: 'entry', name: settings.name, incarnation, version: follower.tryGet()?.version ?? 0, isReady: isReady(),
		}];
		for (const peer of peers.getLinkedPeers()) {
			const state = peerStates.get(peer.incarnation);
			processes.push({
				role: 'entry', name: peer.name, incarnation: peer.incarnation, version: state?.configVersion ?? 0, isReady: state?.draining === false,
			});
		}

		home.sessions.forEachOpen(({agent}) => {
			processes.push({
				role: 'agent', name: agent.name, incarnation: agent.incarnation, version: agentVersions.get(agent.incarnation) ?? 0, isReady: true,
			});
		});
		return {processes};
	}

	function stateGauges(): void {
		forgetGone();
		host.metrics.gauge('jobs.open', home.getOpenJobs());
		host.metrics.gauge('tasks.outstanding', home.sessions.getOutstandingStarts());
		host.metrics.gauge('links.open', links.getLinkCount());
		host.metrics.gauge('peers.open', peers.getLinkedPeers().length);
		host.metrics.gauge('fates.unsaved', host.recorder.getUnsavedCount());
		host.metrics.gauge('config.version', follower.tryGet()?.version ?? 0);
	}

	// Restarted processes come back under other names, so what was told by earlier ones would pile up.
	function forgetGone(): void {
		for (const agent of agentVersions.keys()) {
			if (home.sessions.tryGet(agent) === undefined) {
				agentVersions.delete(agent);
			}
		}

		for (const peer of peerStates.keys()) {
			if (!peers.isLinked(peer)) {
				peerStates.delete(peer);
			}
		}
	}

	async function drain(): Promise<DrainReport> {
		isLeaving = true;
		const end = clock.now() + limits.drainMs;
		leavesAt = end;
		if (host.drainNoticeMs !== undefined) {
			await sleep(clock, host.drainNoticeMs);
		}

		isDraining = true;
		peers.broadcastState(false);
		links.scheduleBroadcast();
		if (host.drainNoticeMs === undefined) {
			await sleep(clock, refusalNoticeMs);
		}

		while (home.getOpenJobs() > 0 && clock.now() < end) {
			await sleep(clock, drainCheckMs);
		}

		const openJobs = home.getOpenJobs();
		if (host.drainNoticeMs !== undefined) {
			// Their callers wait on connections that would break with the process.
			home.failOpenJobs();
		}

		// Agents that drain as well wait for the acknowledgement of their results.
		links.sendHeartbeats();
		// Without the platform the records cannot be saved; every caller has its answer by now.
		await Promise.race([host.recorder.flush(), sleep(clock, Math.max(0, end - clock.now()))]);
		return {openJobs};
	}

	async function stop(): Promise<void> {
		for (const timer of timers) {
			timer.cancel();
		}

		peers.stop();
		await directory.deregister();
	}
}

function tryGetConfig(snapshot: Snapshot | undefined, agent: AgentInfo): ConfigUpdate | undefined {
	if (snapshot === undefined) {
		return undefined;
	}

	const upstream = snapshot.upstreams.get(agent.upstream);
	const service = snapshot.services.get(agent.service);
	const policy = service === undefined ? undefined : snapshot.policies.get(service.policy);
	return {
		version: snapshot.version,
		slots: upstream?.slots ?? 0,
		taskTimeoutMs: policy?.taskTimeout ?? 0,
		drain: upstream?.drain ?? false,
	};
}
