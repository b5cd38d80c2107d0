/**
 * The entry: the process that callers and operators reach over HTTP. It issues tickets, coordinates the submissions sent
 * under them, and relays every other request to the entry that coordinates its ticket.
 */
import {createHeldTaskQueries, recoverAnswer} from '../connection/held-task-queries.js';
import {createLinkHub} from '../connection/link-server.js';
import {relaxedTiming} from '../connection/link-timing.js';
import {createPeerHub} from '../connection/peer-hub.js';
import type {RelayResult} from '../connection/peer-types.js';
import {createQuotaShares, shareReportIntervalMs} from '../connection/quota-shares.js';
import type {EntryAddress, Evacuations, PeerState} from '../generated/kingcuplane.js';
import {toRecordReportJson} from '../request/record-json.js';
import {createRecordLookup} from '../request/record-lookup.js';
import {createCoordinator} from '../request/coordinator.js';
import {createRouter, type FoundRecord} from '../request/router.js';
import {createAgreedAnswerStore} from '../request/agreed-answers.js';
import {createTicketIssuer} from '../request/ticket.js';
import type {Ticket} from '../request/types.js';
import {tryGetAgentConfig} from '../version/agent-config.js';
import {createEvacuationHolder, toEvacuationList, type EvacuationList} from '../version/evacuations.js';
import type {Snapshot} from '../version/types.js';
import {formatAddress, isConnectable} from './address.js';
import {createAgentTelemetry} from './agent-telemetry.js';
import {createCancelRecords} from './cancel-records.js';
import {
	every, sleep, type Milliseconds,
} from './clock.js';
import {createEntryDirectory} from './entry-directory.js';
import {createEntryIntroduction, introduceOperation} from './entry-introduction.js';
import {createEntryReports} from './entry-reports.js';
import {createEvacuationTelemetry} from './evacuation-telemetry.js';
import {cancelJobAtTargetOperation, cancelJobOperation, createJobCancellation} from './job-cancellation.js';
import {createJobForwarding, jobOperation} from './job-forwarding.js';
import {createHttpApi} from './http-api.js';
import {createIsolationTelemetry, createJobTelemetry, createLookAheadTelemetry} from './job-telemetry.js';
import {startLoadTelemetry} from './load-telemetry.js';
import {createRequestArrivals} from './request-arrivals.js';
import {createHoldSwitches, holdStartsAfterPauses} from './start-hold.js';
import {createStartPacing} from './start-pacing.js';
import type {
	EntryHost, Entry, DrainReport, ProcessStatus, StatusReport,
} from './entry-types.js';

/** Operation of a request between entries that fetches the active configuration. */
const snapshotOperation = 'snapshot';
const snapshotTimeoutMs: Milliseconds = 2000;
const stateBroadcastIntervalMs: Milliseconds = 1000;
const gaugeIntervalMs: Milliseconds = 1000;
const heldTaskQueryTimeoutMs: Milliseconds = 500;
const drainCheckIntervalMs: Milliseconds = 10;
/**
 * Least time for which a draining entry still answers requests, while it refuses new work, before it closes its port, so
 * that the balancer stops choosing it.
 */
const refusalNoticeMs: Milliseconds = 500;
/** Maximum number of tickets issued for one request. */
const maxTickets = 1000;

/** Composes an entry. */
export function createEntry(host: EntryHost): Entry {
	const {clock, settings, incarnation, follower} = host;
	const limits = settings.entry;
	const {timing = relaxedTiming, evacuations = createEvacuationHolder()} = host;
	const self: EntryAddress = {name: settings.name, incarnation, links: formatAddress(settings.advertise.links)};
	const agentVersions = new Map<string, number>();
	const peerStates = new Map<string, PeerState>();
	const agentTelemetry = createAgentTelemetry(host);
	const reportIsolation = createIsolationTelemetry(host);
	const evacuationTelemetry = createEvacuationTelemetry(host);
	const reportLookAhead = createLookAheadTelemetry(host);
	let isDraining = false;
	let isShuttingDown = false;
	let drainEndsAt = Infinity;
	let isFetchingSnapshot = false;

	const issuer = createTicketIssuer({
		clock, incarnation, key: host.ticketKey, blockMs: limits.blockMs, lifetimeMs: limits.ticketLifetimeMs,
	});
	const shares = createQuotaShares({
		clock,
		self: incarnation,
		getLiveEntries: () => directory.getLive().map(entry => entry.incarnation),
		getLimit: team => follower.tryGet()?.teams.get(team)?.maxTasks ?? 0,
		send(entry, message) {
			peers.sendShares(entry, {...message, reports: [...message.reports], grants: [...message.grants]});
		},
	});
	const coordinator = createCoordinator({
		clock,
		entry: settings.name,
		issuer,
		recorder: host.recorder,
		quota: host.quota ?? shares,
		agentGraceMs: timing.closedGraceMs ?? limits.agentGraceMs,
		silentGraceMs: timing.silentGraceMs,
		startValidityMs: timing.startValidityMs,
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
		onLossSuspected(report) {
			peers.broadcastLoss(report);
		},
		createScheduler: host.createScheduler,
		endsEarlierIncarnations: host.createScheduler !== undefined,
		onSessionEnded: agentTelemetry.recordSessionEnd,
		...createJobTelemetry(host),
	});
	const directory = createEntryDirectory({
		clock,
		table: host.platform.table,
		log: host.log,
		self,
		leaseMs: limits.leaseMs,
		isLinked: other => peers.isLinked(other),
		onChanged: updateAddresses,
		onDeclaredDead: host.onDeclaredDead,
	});
	const links = createLinkHub({
		entry: settings.name,
		incarnation,
		sessions: coordinator.sessions,
		scheduler: coordinator.scheduler,
		tryGetConfig: agent => tryGetAgentConfig(follower.tryGet(), agent),
		tryGetEvacuations: evacuations.tryGet,
		getEntries: directory.getLive,
		getFencedIncarnations: directory.getDead,
		isDraining: () => isDraining,
		onConfigVersion(agent, version) {
			agentVersions.set(agent.incarnation, version);
		},
		onHeldReply(_agent, reply) {
			heldTaskQueries.receive(reply);
		},
		onLossReport(report) {
			if (coordinator.receiveLossReport(report)) {
				peers.broadcastLoss(report);
				reportIsolation(coordinator.getIsolation());
			}
		},
		defer: host.defer,
		clock,
		timing,
		onBatchReceived: host.pauses?.pauseDetector.check,
		onUnexpectedError: logUnexpectedError,
		tryGetSenderSilence: host.tryGetSenderSilence,
		isNetworkBusy: () => host.linkBudget?.isBusy() ?? false,
		onStartQueued(bytes) {
			startPacing?.recordStart(bytes);
		},
		onOutdatedHello: agentTelemetry.recordOutdatedHello,
		onLinkChanged: agentTelemetry.recordLinkChange,
	});
	const heldTaskQueries = createHeldTaskQueries({clock, timeoutMs: heldTaskQueryTimeoutMs, broadcastQuery: links.broadcastQuery});
	const createHoldSwitch = createHoldSwitches(coordinator.scheduler);
	const startHold = host.pauses && holdStartsAfterPauses({
		...host.pauses, clock, setHeld: createHoldSwitch(), log: host.log,
	});
	const startPacing = host.linkBudget && createStartPacing({clock, budget: host.linkBudget, setHeld: createHoldSwitch()});
	const forwarding = createJobForwarding({
		...host,
		peers: {tryStartRequest: (peer, req) => peers.tryStartRequest(peer, req), getLoadReports: () => peers.getLoadReports()},
		isServing: () => !isShuttingDown && introduction.isDone() && follower.tryGet() !== undefined && links.getLinkCount() > 0,
		areStartsHeld: () => startHold?.areStartsHeld() ?? false,
	});
	const peers = createPeerHub({
		clock,
		self,
		onUnexpectedError: logUnexpectedError,
		timing,
		defer: host.defer,
		tryGetLoad: forwarding.tryGetLoad,
		tryAnswerUnsent: forwarding.tryAnswerUnsent,
		getInputDelay: () => startHold?.getInputDelay() ?? 0,
		onBatchReceived: host.pauses?.pauseDetector.check,
		async serveRequest(req, reqCancellation) {
			switch (req.operation) {
				case snapshotOperation: {
					return serveSnapshot();
				}

				case jobOperation: {
					return forwarding.serve(req, reqCancellation);
				}

				case introduceOperation: {
					return introduction.serve(req);
				}

				case cancelJobOperation:
				case cancelJobAtTargetOperation: {
					return cancellation.serve(req);
				}

				default: {
					return router.serveRelayed(req);
				}
			}
		},
		getState,
		receiveState(peer, state) {
			peerStates.set(peer.incarnation, state);
			directory.addReported([peer, ...state.entries].filter(entry => isUsable(entry, peer)));
			// Before the configuration of this peer, with which this entry may start to serve.
			if (state.evacuations !== undefined) {
				evacuations.offer(state.evacuations);
			}

			void fetchNewerSnapshot(peer, state.configVersion);
		},
		receiveShares(peer, message) {
			shares.receive(peer.incarnation, message);
		},
		getLosses: () => coordinator.lossLog.getReportsSince(0).reports,
		receiveLoss: coordinator.receiveLossReport,
		onStreamChanged({peer, kind}) {
			host.log.info({
				peer: peer.name, incarnation: peer.incarnation, kind, linkedEntries: peers.getLinkedPeers().length,
			}, `stream to another entry ${kind}`);
		},
		onPeerConnected(peer) {
			shares.resynchronize(peer.incarnation);
			introduction.introduceTo(peer);
			cancellation.repeatTo(peer);
		},
		onLinksChanged: updateAddresses,
	});
	const cancelRecords = host.cancelledNames && createCancelRecords({
		clock, table: host.platform.table, log: host.log, incarnation,
	});
	const introduction = createEntryIntroduction({
		...host, self, directory, peers, cancelledNames: host.cancelledNames, loadCancelledNames: cancelRecords?.load,
	});
	const cancellation = createJobCancellation({
		...host, self, directory, peers, isIntroduced: introduction.isDone, saveName: cancelRecords?.save ?? (async () => undefined), cancelHere: (name, target) => host.cancelJob?.(name, target) ?? 'unknown',
	});
	host.pauses?.pauseDetector.onPause((pause, uncounted) => {
		peers.recordPause(uncounted);
		if (pause > (timing.harmlessPauseMs ?? Infinity)) {
			introduction.recordPause(pause);
			host.log.warn({pause}, 'streams of other entries are closed after a pause');
			peers.abandonServedRequests();
		}
	});
	const reports = createEntryReports({
		clock,
		getLive: directory.getLive,
		getDead: directory.getDead,
		getLinkedPeers: peers.getLinkedPeers,
		reportToAgents: links.scheduleBroadcast,
		reportToPeers: peers.broadcastState,
	});
	const lookup = createRecordLookup({
		incarnation,
		recorder: host.recorder,
		getObject: host.platform.objects.get,
		// The router has already queried the coordinator, so this reports only whether that entry is dead or unreachable.
		queryCoordinator: async ticket => ({kind: directory.getStatus(ticket.incarnation) === 'dead' ? 'lost' : 'unreachable'}),
		queryAgents: async ticket => heldTaskQueries.query(ticket.text),
	});
	const agreedAnswers = createAgreedAnswerStore(host.platform.table, host.log);
	const router = createRouter({
		clock,
		entry: settings.name,
		incarnation,
		coordinator,
		directory,
		relay: peers.request,
		findRecord,
		recover: async ticket => recoverAnswer(await heldTaskQueries.query(ticket.text)),
		proposeAnswer: agreedAnswers.propose,
		recordDelivery: host.recorder.recordDelivery,
	});
	const arrivals = createRequestArrivals({
		...host, getInputDelay: () => startHold?.getInputDelay() ?? 0,
	});
	const http = createHttpApi({
		clock,
		router,
		arrivals,
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
		every(clock, stateBroadcastIntervalMs, () => {
			introduction.tick();
			cancellation.tick();
			peers.broadcastState([]);
		}),
		every(clock, shareReportIntervalMs, shares.tick),
		every(clock, timing.heartbeatMs, links.sendHeartbeats),
		every(clock, timing.heartbeatMs, peers.sendHeartbeats),
		every(clock, gaugeIntervalMs, updateGauges),
	];
	if (host.loadMonitor !== undefined) {
		timers.push(startLoadTelemetry({
			clock,
			log: host.log,
			metrics: host.metrics,
			monitor: host.loadMonitor,
			linkBudget: host.linkBudget,
			getCounts: () => ({
				...coordinator.getCounts(), ...forwarding.getCounts(), ...links.getBatchCounts(), ...getTrafficCounts(),
			}),
			describeState: () => ({...forwarding.describeState(), agents: links.getLinkCount()}),
		}));
	}

	evacuations.onChange((list, change) => {
		applyEvacuations(list);
		evacuationTelemetry.recordChange(list, change);
	});
	const currentEvacuations = evacuations.tryGet();
	if (currentEvacuations !== undefined) {
		applyEvacuations(currentEvacuations);
		evacuationTelemetry.recordChange(currentEvacuations, {evacuated: currentEvacuations.dataCentres, restored: []});
	}

	follower.onChange(applySnapshot);
	const currentSnapshot = follower.tryGet();
	if (currentSnapshot !== undefined) {
		applySnapshot(currentSnapshot);
	}

	peers.setAddresses(settings.entry.seeds.map(seed => formatAddress(seed)));

	return {
		coordinator,
		issueTicket: owner => issuer.issue(owner, 1)[0]!,
		decideByLoad: forwarding.decide,
		arrivals,
		tryForwardJob: forwarding.tryForward,
		cancelJob: cancellation.cancel,
		isIntroduced: introduction.isDone,
		whenIntroduced: introduction.whenDone,
		isShuttingDown: () => isShuttingDown,
		getRemainingDrainTime: () => drainEndsAt - clock.now(),
		getOpenLinkCount: links.getLinkCount,
		http, links: links.service, peers: peers.service, drain, stop,
	};

	// A peer may have a newer version that this entry cannot read yet, for instance during an outage of the platform.
	async function fetchNewerSnapshot(peer: EntryAddress, version: number): Promise<void> {
		if (isFetchingSnapshot || version <= (follower.tryGet()?.version ?? 0)) {
			return;
		}

		isFetchingSnapshot = true;
		const reply = await peers.request(peer.incarnation, {
			operation: snapshotOperation, ticket: '', principal: '', body: new Uint8Array(), timeoutMs: snapshotTimeoutMs,
		});
		isFetchingSnapshot = false;
		if (reply?.status === 200) {
			follower.offer(reply.body);
		}
	}

	function logUnexpectedError(err: unknown, source: string | undefined): void {
		host.log.error({err, source}, 'input of another process could not be processed');
	}

	/** Whether an entry that `peer` has reported can be connected to. */
	function isUsable({name, links: address}: EntryAddress, peer: EntryAddress): boolean {
		if (!isConnectable(address)) {
			host.log.warn({peer: peer.name, entry: name, address}, 'reported entry ignored, since its address cannot be used');
			return false;
		}

		return true;
	}

	function serveSnapshot(): RelayResult {
		const bytes = follower.tryGetEncoded();
		return {status: bytes === undefined ? 404 : 200, body: bytes ?? new Uint8Array(), retryAfterMs: 0};
	}

	async function findRecord(ticket: Ticket): Promise<FoundRecord | 'unreadable' | undefined> {
		const report = await lookup.find(ticket);
		if (report.fate !== undefined) {
			return {fate: report.fate, json: toRecordReportJson(report)};
		}

		return report.mayChange ? 'unreadable' : undefined;
	}

	function applySnapshot(snapshot: Snapshot): void {
		if (host.evacuations === undefined) {
			evacuations.offer(toEvacuationList(snapshot));
		}

		coordinator.applySnapshot(snapshot);
		links.scheduleConfig();
		peers.broadcastState([]);
		host.log.info({configVersion: snapshot.version}, 'configuration in force');
	}

	function applyEvacuations({dataCentres}: EvacuationList): void {
		coordinator.scheduler.setEvacuatedDataCentres(dataCentres);
		links.scheduleConfig();
		peers.broadcastState([]);
	}

	function updateAddresses(): void {
		const addresses = [...[...directory.getLive(), ...directory.getReported()].map(entry => entry.links), ...settings.entry.seeds.map(seed => formatAddress(seed))];
		peers.setAddresses(addresses);
		reports.schedule();
	}

	function getState(entries: readonly EntryAddress[]): PeerState {
		return {
			configVersion: follower.tryGet()?.version ?? 0,
			draining: isDraining,
			entries: [...entries],
			evacuations: toMessage(evacuations.tryGet()),
		};
	}

	function isReady(): boolean {
		return !isShuttingDown && follower.tryGet() !== undefined && directory.isRegistered() && host.areTokensLoaded();
	}

	function getStatus(): StatusReport {
		const processes: ProcessStatus[] = [{
			role: 'entry', name: settings.name, incarnation, version: follower.tryGet()?.version ?? 0, isReady: isReady(),
		}];
		for (const peer of peers.getLinkedPeers()) {
			const state = peerStates.get(peer.incarnation);
			processes.push({
				role: 'entry', name: peer.name, incarnation: peer.incarnation, version: state?.configVersion ?? 0, isReady: state?.draining === false,
			});
		}

		coordinator.sessions.forEachOpen(({agent}) => {
			processes.push({
				role: 'agent', name: agent.name, incarnation: agent.incarnation, version: agentVersions.get(agent.incarnation) ?? 0, isReady: true,
			});
		});
		return {processes, evacuatedDataCentres: evacuations.tryGet()?.dataCentres ?? []};
	}

	function getTrafficCounts(): Readonly<Record<string, number>> {
		const counts = [...host.traffic?.getCounts() ?? []];
		return Object.fromEntries(counts.flatMap(([purpose, {received, sent}]) => [[`${purpose}BytesIn`, received], [`${purpose}BytesOut`, sent]]));
	}

	function updateGauges(): void {
		removeDisconnected();
		for (const [purpose, {received, sent}] of host.traffic?.getCounts() ?? []) {
			host.metrics.gauge('traffic.received.bytes', received, {purpose});
			host.metrics.gauge('traffic.sent.bytes', sent, {purpose});
		}

		if (host.linkBudget !== undefined) {
			const {utilization, backlog} = host.linkBudget.getLoad();
			host.metrics.gauge('link.utilization', utilization);
			host.metrics.gauge('link.backlog', backlog);
		}

		reportIsolation(coordinator.getIsolation());
		host.metrics.gauge('jobs.open', coordinator.getOpenJobs());
		host.metrics.gauge('tasks.outstanding', coordinator.sessions.getOutstandingStarts());
		host.metrics.gauge('links.open', links.getLinkCount());
		host.metrics.gauge('peers.open', peers.getLinkedPeers().length);
		host.metrics.gauge('fates.unsaved', host.recorder.getUnsavedCount());
		evacuationTelemetry.updateGauges();
		reportLookAhead(coordinator.scheduler.getLookAheadCounts?.());
		host.metrics.gauge('config.version', follower.tryGet()?.version ?? 0);
	}

	// A restarted process has a new incarnation, so reports of earlier incarnations would accumulate.
	function removeDisconnected(): void {
		for (const agent of agentVersions.keys()) {
			if (coordinator.sessions.tryGet(agent) === undefined) {
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
		isShuttingDown = true;
		const end = clock.now() + limits.drainMs;
		drainEndsAt = end;
		if (host.drainNoticeMs !== undefined) {
			await sleep(clock, host.drainNoticeMs);
		}

		isDraining = true;
		peers.broadcastState([]);
		links.scheduleBroadcast();
		if (host.drainNoticeMs === undefined) {
			await sleep(clock, refusalNoticeMs);
		}

		while (coordinator.getOpenJobs() > 0 && clock.now() < end) {
			await sleep(clock, drainCheckIntervalMs);
		}

		const openJobs = coordinator.getOpenJobs();
		if (host.drainNoticeMs !== undefined) {
			// Callers of open jobs wait on connections that break when the process ends, so each gets an answer before that.
			coordinator.failOpenJobs();
		}

		// Heartbeats acknowledge results; an agent that drains at the same time waits for that.
		links.sendHeartbeats();
		// The wait for saving records is bounded, since the platform may be down and every caller has its answer by now.
		await Promise.race([host.recorder.flush(), sleep(clock, Math.max(0, end - clock.now()))]);
		return {openJobs};
	}

	async function stop(): Promise<void> {
		for (const timer of timers) {
			timer.cancel();
		}

		reports.stop();
		cancelRecords?.stop();
		peers.stop();
		await directory.deregister();
	}
}

function toMessage(list: EvacuationList | undefined): Evacuations | undefined {
	return list && {...list, dataCentres: [...list.dataCentres]};
}
