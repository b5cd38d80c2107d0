/**
 * Runs an agent on the platform, beside one executor, which announces itself by heartbeats.
 */
import {createLossLog} from '../connection/loss-log.js';
import {createAgent} from '../process/agent.js';
import {createSystemClock, type Milliseconds} from '../process/clock.js';
import {createEntryAddressReader} from '../process/entry-directory.js';
import {createExecutorManager} from '../process/executor-manager.js';
import type {ExecutorInfo} from '../process/executor-types.js';
import {createIncarnation} from '../process/incarnation.js';
import {createLeasedUpstream} from '../process/leased-upstream.js';
import {createEventLoopMonitor} from '../process/load-monitor.js';
import {startLoadTelemetry} from '../process/load-telemetry.js';
import {afterBytesRead, afterPoll} from '../process/input-reading.js';
import type {Log} from '../process/log.js';
import {createPauseAccumulator, createPauseDetector} from '../process/pause-detector.js';
import {createPrometheusMetrics} from '../process/prometheus-metrics.js';
import type {AgentSettings} from '../process/settings.js';
import {createSocketTraffic} from '../process/socket-traffic.js';
import {createEvacuationHolder} from '../version/evacuations.js';
import {createExecutorClient} from './executor-client.js';
import {createAnnouncementStore} from './announcement-store.js';
import {createHeartbeatApp, maxBodyBytes} from './heartbeats.js';
import {createPlatformServers} from './http-server.js';
import {createOwnServiceCheck} from './own-service.js';
import type {MachineSettings} from './settings.js';
import {createPlatformClient} from './platform-client.js';
import {shutdownReserveMs, platformTiming, storeTimeoutMs} from './timing.js';

const discoverMs: Milliseconds = 300;
const resultMemoryBytes = 8_000_000;
/** Long, since nothing but the log depends on the load of an agent. */
const loadSampleIntervalMs: Milliseconds = 500;

/** Starts an agent; resolves once it accepts heartbeats. `readService` reads the service of its executor from the settings as they are now. */
export async function runPlatformAgent(machine: MachineSettings, log: Log, readService: () => string | undefined): Promise<{stop(): Promise<void>}> {
	const clock = createSystemClock();
	const metrics = createPrometheusMetrics({role: 'agent', process: machine.name});
	// Before anything is connected, as it knows only connections that were opened after it.
	const traffic = createSocketTraffic(() => 'all');
	const store = createPlatformClient({clock, url: `http://${machine.store}`, timeoutMs: storeTimeoutMs});
	const pauseDetector = createPauseDetector(clock);
	const takeAccumulatedPause = createPauseAccumulator(pauseDetector);
	const isOwnService = createOwnServiceCheck({
		clock, log, service: machine.service, readService,
	});
	const announcements = createAnnouncementStore({
		clock, table: store.table, log, machine: machine.name, isOwnService,
	});
	const readEntryDirectory = createEntryAddressReader({table: store.table, log});
	const lossLog = createLossLog({clock});
	const evacuations = createEvacuationHolder();
	const manager = createExecutorManager({
		clock,
		log,
		metrics,
		lossLog,
		createUpstream: (executorInfo, events, lowestFencingToken) => createLeasedUpstream({
			clock,
			executor: createExecutorClient({
				clock, address: executorInfo.address, id: executorInfo.id, log,
			}),
			executorStartedAt: executorInfo.bornAt === 0 ? undefined : executorInfo.bornAt,
			firstFencingToken: Math.max(Math.floor(clock.wall()), lowestFencingToken),
			maxLeaseMs: machine.maxLeaseMs,
			log,
			metrics,
			takePauseTime: takeAccumulatedPause,
			onPauseWitnessed: pauseDetector.recordWitnessed,
			harmlessPauseMs: platformTiming.harmlessPauseMs!,
			maxUnverifiedAgeMs: platformTiming.maxUnverifiedAgeMs,
			...events,
		}),
		createAgent: (executorInfo, upstream, upstreamIncarnation) => createAgent({
			clock,
			settings: toAgentSettings(machine, executorInfo),
			incarnation: createIncarnation(),
			upstream,
			log,
			metrics,
			random: Math.random,
			readEntryDirectory,
			defer: setImmediate,
			timing: platformTiming,
			pauseDetector,
			afterInputRead(action) {
				afterBytesRead(traffic.getOpenSockets(), afterPoll, action);
			},
			capacity: executorInfo.room,
			labels: executorInfo.labels,
			upstreamIncarnation,
			lossLog,
			evacuations,
		}),
		afterFlush: setImmediate,
		saveAnnouncement({executorInfo, isLeaving}) {
			announcements.save({facts: executorInfo, isLeaving});
		},
	});
	const servers = createPlatformServers({
		clock, log, metrics, machine, maxBodyBytes,
	});
	const server = await servers.serve('heartbeats', createHeartbeatApp({
		log, isOwnService, onHeartbeat: manager.receive, onDeregister: manager.receiveDeparture,
	}), machine.control!);
	const metricsServer = await servers.serveMetrics();

	const loadMonitor = createEventLoopMonitor(clock, loadSampleIntervalMs);
	const loadTelemetry = startLoadTelemetry({
		clock, log, metrics, monitor: loadMonitor, getCounts: () => ({...manager.tryGetAgent()?.getCounts()}),
	});

	void restoreExecutor();

	return {
		async stop() {
			manager.stopReceiving();
			loadTelemetry.cancel();
			loadMonitor.stop();
			traffic.stop();
			const report = await manager.tryGetAgent()?.drain();
			log.info({report}, 'agent drained');
			await manager.close();
			announcements.stop();
			await Promise.all([server.close(), metricsServer.close(), store.close()]);
		},
	};

	async function restoreExecutor(): Promise<void> {
		const announcement = await announcements.load();
		if (announcement === undefined) {
			return;
		}

		try {
			manager.restore({executorInfo: announcement.facts, isLeaving: announcement.isLeaving});
		} catch (err) {
			log.error({err, announcement}, 'the stored announcement cannot be used; waiting for the next heartbeat');
		}
	}
}

function toAgentSettings(machine: MachineSettings, executorInfo: ExecutorInfo): AgentSettings {
	const [, rack = ''] = executorInfo.labels;
	return {
		name: machine.name,
		upstream: executorInfo.id,
		service: executorInfo.service,
		dataCentre: machine.dataCentre,
		rack,
		upstreamServer: {
			url: executorInfo.address, slots: 1, connections: 1, taskTimeoutMs: 0,
		},
		agent: {
			seeds: machine.seeds.map(host => ({host, port: machine.linksPort})), discoverMs, drainMs: machine.graceMs - shutdownReserveMs, resultMemoryBytes,
		},
		platform: {url: '', timeoutMs: storeTimeoutMs},
		log: {level: 'info'},
		metrics: {address: undefined, prefix: ''},
	};
}
