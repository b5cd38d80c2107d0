/**
 * Runs an agent on the platform, beside one executor. The executor announces itself by heartbeats. Each incarnation of
 * the executor gets its own agent, so that a report about one incarnation never counts for a later one.
 */
import {createAgent} from '../process/agent.js';
import type {Agent} from '../process/agent-types.js';
import {createSystemClock, type Milliseconds} from '../process/clock.js';
import {readEntryAddresses} from '../process/entry-directory.js';
import {createIncarnation} from '../process/incarnation.js';
import {createLeasedUpstream, type LeasedUpstream} from '../process/leased-upstream.js';
import {closeHttp} from '../process/http-listen.js';
import type {Log} from '../process/log.js';
import {createPauseAccumulator, createPauseDetector} from '../process/pause-detector.js';
import {createPrometheusMetrics} from '../process/prometheus-metrics.js';
import type {AgentSettings} from '../process/settings.js';
import {createExecutorClient} from './executor-client.js';
import {createAnnouncementStore} from './announcement-store.js';
import {createHeartbeatApp, type ExecutorInfo, type Heartbeat} from './heartbeats.js';
import {serveHttp, serveMetrics} from './http-server.js';
import type {MachineSettings} from './settings.js';
import {createPlatformClient} from './platform-client.js';
import {shutdownReserveMs, platformTiming, storeTimeoutMs} from './timing.js';

/** One incarnation of the executor and the agent that serves it. */
type ManagedExecutor = {
	readonly executorInfo: ExecutorInfo;
	readonly upstream: LeasedUpstream;
	/** Undefined until the executor has been taken over. */
	agent?: Agent;
	isLeaving: boolean;
	hasEnded: boolean;
};

const discoverMs: Milliseconds = 300;
const resultMemoryBytes = 8_000_000;

/** Starts an agent; resolves once it accepts heartbeats. */
export async function runPlatformAgent(machine: MachineSettings, log: Log): Promise<{stop(): Promise<void>}> {
	const clock = createSystemClock();
	const metrics = createPrometheusMetrics({role: 'agent', process: machine.name});
	const store = createPlatformClient({clock, url: `http://${machine.store}`, timeoutMs: storeTimeoutMs});
	const pauseDetector = createPauseDetector(clock);
	let current: ManagedExecutor | undefined;
	const takeAccumulatedPause = createPauseAccumulator(pauseDetector);
	let isStopping = false;
	const announcements = createAnnouncementStore({
		clock, table: store.table, log, machine: machine.name,
	});
	const server = await serveHttp(createHeartbeatApp({log, onHeartbeat: handleHeartbeat, onDeregister: handleDeregister}), machine.control!);
	const metricsServer = await serveMetrics(metrics, {host: machine.ip, port: machine.metricsPort});

	void restoreExecutor();

	return {
		async stop() {
			isStopping = true;
			announcements.stop();
			const report = await current?.agent?.drain();
			log.info({report}, 'agent drained');
			current?.agent?.stop();
			await current?.upstream.close();
			await Promise.all([closeHttp(server), closeHttp(metricsServer), store.close()]);
		},
	};

	// The executor may have restarted since its announcement was stored; it then refuses calls that are meant for the earlier incarnation.
	async function restoreExecutor(): Promise<void> {
		const announcement = await announcements.load();
		if (announcement !== undefined && current === undefined && !isStopping) {
			replaceExecutor(announcement.facts, announcement.isLeaving);
		}
	}

	function handleHeartbeat({executorInfo, isLeaving}: Heartbeat): void {
		if (isStopping) {
			return;
		}

		if (current === undefined || current.hasEnded || current.executorInfo.id !== executorInfo.id || current.executorInfo.bornAt !== executorInfo.bornAt) {
			if (current !== undefined && !current.hasEnded && executorInfo.bornAt < current.executorInfo.bornAt) {
				log.info({executor: executorInfo.id, bornAt: executorInfo.bornAt}, 'heartbeat of an earlier incarnation ignored');
				return;
			}

			announcements.save({facts: executorInfo, isLeaving});
			replaceExecutor(executorInfo, isLeaving);
			return;
		}

		if (current.isLeaving !== isLeaving) {
			current.isLeaving = isLeaving;
			announcements.save({facts: executorInfo, isLeaving});
			log.info({executor: executorInfo.id, isLeaving}, 'executor state changed');
			current.agent?.setUpstreamLeaving(isLeaving);
		}
	}

	function handleDeregister(id: string): void {
		if (current?.executorInfo.id === id) {
			log.info({executor: id}, 'executor left');
			// If this process restarts before the next executor announces itself, it must not use this one again.
			announcements.save({facts: current.executorInfo, isLeaving: true});
			endExecutor(current);
		}
	}

	function replaceExecutor(executorInfo: ExecutorInfo, isLeaving: boolean): void {
		if (current !== undefined) {
			endExecutor(current);
		}

		log.info({executor: executorInfo}, 'executor announced');
		const next: ManagedExecutor = {
			executorInfo,
			isLeaving,
			hasEnded: false,
			upstream: createLeasedUpstream({
				clock,
				executor: createExecutorClient({clock, address: executorInfo.address, id: executorInfo.id}),
				executorStartedAt: executorInfo.bornAt === 0 ? undefined : executorInfo.bornAt,
				firstFencingToken: Math.floor(clock.wall()),
				maxLeaseMs: machine.maxLeaseMs,
				log,
				onIncarnationChanged() {
					log.warn({executor: executorInfo.id}, 'another incarnation of the executor has answered');
					endExecutor(next);
				},
				onProjectedSlowdowns(projections) {
					next.agent?.recordProjectedSlowdowns(projections);
				},
				onUnreachable() {
					next.agent?.probeUpstream();
				},
				takePauseTime: takeAccumulatedPause,
				harmlessPauseMs: platformTiming.harmlessPauseMs!,
			}),
		};
		current = next;
		void startAgent(next);
	}

	// The agent reports the executor to entries only after all runs that an earlier agent started there have ended.
	async function startAgent(managed: ManagedExecutor): Promise<void> {
		await managed.upstream.takeOver();
		if (managed.hasEnded || isStopping) {
			return;
		}

		const incarnation = createIncarnation();
		managed.agent = createAgent({
			clock,
			settings: toAgentSettings(machine, managed.executorInfo),
			incarnation,
			upstream: managed.upstream,
			log,
			metrics,
			random: Math.random,
			readEntryDirectory: async () => readEntryAddresses(store.table),
			defer: setImmediate,
			timing: platformTiming,
			pauseDetector,
			capacity: managed.executorInfo.room,
			labels: managed.executorInfo.labels,
		});
		managed.agent.setUpstreamLeaving(managed.isLeaving);
		log.info({executor: managed.executorInfo.id, incarnation}, 'executor taken over');
	}

	function endExecutor(ended: ManagedExecutor): void {
		if (ended.hasEnded) {
			return;
		}

		ended.hasEnded = true;
		ended.upstream.abortAll('the executor ended');
		// Leaves the links open until they have carried the results of the aborted runs.
		setImmediate(() => {
			ended.agent?.stop();
			void ended.upstream.close();
		});
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
