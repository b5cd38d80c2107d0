/**
 * Runs an entry on the platform, with the platform's clients, store and settings in place of this project's own.
 */
import {Hono} from 'hono';
import {err, type Result} from 'neverthrow';
import {unboundedQuota} from '../connection/unbounded-quota.js';
import {
	createDiagnostic, Diagnostics, formatDiagnostic, type Diagnostic,
} from '../process/diagnostics.js';
import {createCancelledNames} from '../process/cancelled-names.js';
import {createSystemClock} from '../process/clock.js';
import {declinedResult} from '../process/job-forwarding.js';
import {afterInputRead, afterPoll} from '../process/input-reading.js';
import {tryCreateLinkBudget} from '../process/link-budget.js';
import {createEventLoopMonitor, type LoadMonitor} from '../process/load-monitor.js';
import type {Log} from '../process/log.js';
import {createPauseCheckedClock, createPauseDetector} from '../process/pause-detector.js';
import {runEntry, type RunningEntry} from '../process/run-entry.js';
import {getConnectionLimit} from '../process/request-limits.js';
import {createPrometheusMetrics} from '../process/prometheus-metrics.js';
import type {EntrySettings} from '../process/settings.js';
import {createSocketTraffic, type CountedSocket} from '../process/socket-traffic.js';
import {createResourceScheduler} from '../request/resource-scheduler.js';
import type {Principal} from '../request/router.js';
import {createEvacuationHolder} from '../version/evacuations.js';
import {createLongPollFollower} from '../version/long-poll-follower.js';
import {createDesiredStateCodec, createDesiredStateSource} from './desired-state.js';
import {createPlatformServers} from './http-server.js';
import {createIngress, maxBodyBytes} from './ingress.js';
import {createJobDesk, type JobDesk} from './job-desk.js';
import {createJobIntake, type JobIntake} from './job-intake.js';
import type {MachineSettings} from './settings.js';
import {createPlatformClient} from './platform-client.js';
import {maxTasks} from './wire-job.js';
import {
	agentGraceMs, shutdownReserveMs, drainNoticeShare, platformTiming, startupGraceMs, storeTimeoutMs,
} from './timing.js';

/**
 * Purposes of an entry's connections. Streams that other entries have opened are among those of the agents, with which they
 * share a port.
 */
type TrafficPurpose = 'clients' | 'agents' | 'entries' | 'store' | 'other';

/** Replacements for parts that the entry otherwise creates itself. */
export type PlatformEntryOverrides = {
	readonly loadMonitor?: LoadMonitor;
};

/** Starts an entry; resolves once it serves requests. `onDeclaredDead` is called when another entry has declared this one dead. */
export async function runPlatformEntry(machine: MachineSettings, incarnation: string, log: Log, onDeclaredDead: () => void, overrides: PlatformEntryOverrides = {}): Promise<Pick<RunningEntry, 'stop'>> {
	const clock = createSystemClock();
	const settings = toEntrySettings(machine);
	const metrics = createPrometheusMetrics({role: 'entry', process: machine.name});
	const platform = createPlatformClient({...settings.platform, clock});
	const pauseDetector = createPauseDetector(clock);
	const loadMonitor = overrides.loadMonitor ?? createEventLoopMonitor(clock);
	// Before anything is connected, as it knows only connections that were opened after it.
	const traffic = createSocketTraffic((socket, isAccepted) => getTrafficPurpose(machine, socket, isAccepted));
	const evacuations = createEvacuationHolder();
	const cancelledNames = createCancelledNames(clock);
	const follower = createLongPollFollower({
		clock,
		source: createDesiredStateSource({client: platform, onEvacuations: evacuations.offer}),
		codec: createDesiredStateCodec(),
		random: Math.random,
		onDiagnostic(diagnostic) {
			log.warn({diagnostic}, formatDiagnostic(diagnostic));
		},
	});
	follower.start();
	const servers = createPlatformServers({
		clock, log, metrics, machine, maxBodyBytes,
	});
	const linkBudget = tryCreateLinkBudget({clock, traffic, linkMbps: machine.linkMbps});
	log.info({linkMbps: machine.linkMbps, isWatched: linkBudget !== undefined}, 'network link');
	// Other entries may forward jobs as soon as this one listens, and are declined until the desk exists.
	const serving: {desk?: JobDesk; intake?: JobIntake} = {};
	const running = await runEntry(settings, incarnation, onDeclaredDead, {
		log,
		metrics,
		platform,
		follower,
		authenticate: refuseToken,
		httpHost: servers.host,
		host: {
			clock: createPauseCheckedClock(clock, pauseDetector),
			timing: platformTiming,
			evacuations,
			cancelledNames,
			drainNoticeMs: settings.entry.drainMs * drainNoticeShare,
			pauses: {
				pauseDetector,
				afterInputRead(action) {
					// The streams of a connection that has ended end one turn after it.
					afterInputRead(traffic.getOpenSockets(), afterPoll, () => {
						afterPoll(action);
					});
				},
			},
			loadMonitor,
			traffic,
			linkBudget,
			serveForwardedJob: async (job, cancellation) => serving.desk?.submitForwarded(job, cancellation) ?? declinedResult,
			cancelJob: (name, target) => serving.intake?.cancelHere(name, target) ?? 'unknown',
			onCancelsLearnt(names) {
				for (const name of names) {
					serving.intake?.cancelOpen(name);
				}
			},
			tryGetSenderSilence: ticket => serving.desk?.tryGetSenderSilence(ticket),
			createScheduler: host => createResourceScheduler({...host, random: Math.random, startupGraceMs}),
			quota: unboundedQuota,
		},
	});
	const {entry} = running;
	const desk = createJobDesk({
		entry, log, clock, cancelledNames, checkPause: pauseDetector.check, tryGetSnapshot: follower.tryGet,
	});
	serving.desk = desk;
	const intake = createJobIntake({clock, entry, desk});
	serving.intake = intake;
	const ingressServer = await servers.serve('clients', createIngress({
		entry,
		desk,
		log,
		intake,
		arrivals: entry.arrivals,
	}), machine.clients!);
	const readinessServer = await servers.serveProbes('readiness', new Hono().get('/v1/readyz', c => isReady() ? c.text('ready') : c.text('not ready', 503)), machine.ready!);
	const metricsServer = await servers.serveMetrics();

	return {
		async stop() {
			await running.stop();
			pauseDetector.stop();
			loadMonitor.stop();
			linkBudget?.stop();
			traffic.stop();
			await Promise.all([ingressServer.close(), readinessServer.close(), metricsServer.close()]);
		},
	};

	function isReady(): boolean {
		return !entry.isShuttingDown() && follower.tryGet() !== undefined && entry.getOpenLinkCount() > 0 && entry.isIntroduced();
	}
}

/** Returns what a connection of an entry is for, by its ports. */
function getTrafficPurpose({clients, linksPort, store}: MachineSettings, {localPort, remotePort}: CountedSocket, isAccepted: boolean): TrafficPurpose {
	if (isAccepted) {
		return localPort === clients?.port ? 'clients' : (localPort === linksPort ? 'agents' : 'other');
	}

	return remotePort === linksPort ? 'entries' : (store.endsWith(`:${remotePort}`) ? 'store' : 'other');
}

// The platform issues no tokens. Operators and support engineers use the logs and the HTTP routes that need no token.
function refuseToken(): Result<Principal, Diagnostic> {
	return err(createDiagnostic(Diagnostics.Token_is_unknown));
}

function toEntrySettings(machine: MachineSettings): EntrySettings {
	const links = {host: machine.ip, port: machine.linksPort};
	const http = machine.control ?? {host: machine.ip, port: machine.metricsPort + 1};
	return {
		name: machine.name,
		dataCentre: machine.dataCentre,
		rack: '',
		listen: {http, links},
		advertise: {http, links: machine.advertisedLinks},
		platform: {url: `http://${machine.store}`, timeoutMs: storeTimeoutMs},
		entry: {
			seeds: machine.seeds.filter(host => host !== machine.ip && host !== machine.advertisedLinks.host).map(host => ({host, port: machine.linksPort})),
			leaseMs: 9000,
			ticketLifetimeMs: 10_000,
			blockMs: 2000,
			fateMemoryBytes: 16_000_000,
			fateWritesPerSecond: 2,
			answerKeepMs: 10_000,
			maxBodyBytes,
			maxConnections: getConnectionLimit(machine.descriptors),
			maxTasks,
			maxHeaderBytes: 16_384,
			maxWaitMs: 10_000,
			agentGraceMs,
			drainMs: machine.graceMs - shutdownReserveMs,
		},
		log: {level: 'info'},
		metrics: {address: undefined, prefix: ''},
	};
}
