/**
 * Runs an agent on the platform, beside one executor. The executor announces itself by heartbeats; each life of it
 * gets an agent of its own, so that what was told of an earlier life never counts for a later one.
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

/** One life of the executor and its agent. */
type Life = {
	readonly facts: ExecutorInfo;
	readonly upstream: LeasedUpstream;
	agent?: Agent;
	isLeaving: boolean;
	isOver: boolean;
};

const discoverMs: Milliseconds = 300;
const resultMemoryBytes = 8_000_000;

/** Starts an agent; resolves once it takes heartbeats. */
export async function runPlatformAgent(machine: MachineSettings, log: Log): Promise<{stop(): Promise<void>}> {
	const clock = createSystemClock();
	const metrics = createPrometheusMetrics({role: 'agent', process: machine.name});
	const store = createPlatformClient({clock, url: `http://${machine.store}`, timeoutMs: storeTimeoutMs});
	const pauses = createPauseDetector(clock);
	let life: Life | undefined;
	const takePause = createPauseAccumulator(pauses);
	let isStopping = false;
	const row = createAnnouncementStore({
		clock, table: store.table, log, machine: machine.name,
	});
	const server = await serveHttp(createHeartbeatApp({log, onHeartbeat: receive, onDeregister: left}), machine.control!);
	const scrape = await serveMetrics(metrics, {host: machine.ip, port: machine.metricsPort});

	void resume();

	return {
		async stop() {
			isStopping = true;
			row.stop();
			const report = await life?.agent?.drain();
			log.info({report}, 'agent drained');
			life?.agent?.stop();
			await life?.upstream.close();
			await Promise.all([closeHttp(server), closeHttp(scrape), store.close()]);
		},
	};

	// The executor may have been taken over by another life since; it then refuses the orders meant for this one.
	async function resume(): Promise<void> {
		const announcement = await row.load();
		if (announcement !== undefined && life === undefined && !isStopping) {
			replaceLife(announcement.facts, announcement.isLeaving);
		}
	}

	function receive({facts, isLeaving}: Heartbeat): void {
		if (isStopping) {
			return;
		}

		if (life === undefined || life.isOver || life.facts.id !== facts.id || life.facts.bornAt !== facts.bornAt) {
			if (life !== undefined && !life.isOver && facts.bornAt < life.facts.bornAt) {
				log.info({executor: facts.id, bornAt: facts.bornAt}, 'heartbeat of an earlier life ignored');
				return;
			}

			row.save({facts, isLeaving});
			replaceLife(facts, isLeaving);
			return;
		}

		if (life.isLeaving !== isLeaving) {
			life.isLeaving = isLeaving;
			row.save({facts, isLeaving});
			log.info({executor: facts.id, isLeaving}, 'executor changed its state');
			life.agent?.setUpstreamLeaving(isLeaving);
		}
	}

	function left(id: string): void {
		if (life?.facts.id === id) {
			log.info({executor: id}, 'executor left');
			endLife(life);
		}
	}

	function replaceLife(facts: ExecutorInfo, isLeaving: boolean): void {
		if (life !== undefined) {
			endLife(life);
		}

		log.info({executor: facts}, 'executor announced');
		const started: Life = {
			facts,
			isLeaving,
			isOver: false,
			upstream: createLeasedUpstream({
				clock,
				executor: createExecutorClient(facts),
				executorStartedAt: facts.bornAt === 0 ? undefined : facts.bornAt,
				firstFencingToken: Math.floor(clock.wall()),
				maxLeaseMs: machine.maxLeaseMs,
				log,
				onIncarnationChanged() {
					log.warn({executor: facts.id}, 'the executor is in another life');
					endLife(started);
				},
				onProjectedSlowdowns(projections) {
					started.agent?.recordProjectedSlowdowns(projections);
				},
				onUnreachable() {
					started.agent?.probeUpstream();
				},
				takePauseTime: takePause,
			}),
		};
		life = started;
		void announce(started);
	}

	// Entries hear of the executor once nothing of an earlier agent runs there any more.
	async function announce(started: Life): Promise<void> {
		await started.upstream.takeOver();
		if (started.isOver || isStopping) {
			return;
		}

		const incarnation = createIncarnation();
		started.agent = createAgent({
			clock,
			settings: toAgentSettings(machine, started.facts),
			incarnation,
			upstream: started.upstream,
			log,
			metrics,
			random: Math.random,
			readEntryDirectory: async () => readEntryAddresses(store.table),
			defer: setImmediate,
			timing: platformTiming,
			pauseDetector: pauses,
			capacity: started.facts.room,
			labels: started.facts.labels,
		});
		started.agent.setUpstreamLeaving(started.isLeaving);
		log.info({executor: started.facts.id, incarnation}, 'executor taken over');
	}

	function endLife(ended: Life): void {
		if (ended.isOver) {
			return;
		}

		ended.isOver = true;
		ended.upstream.abortAll('the executor ended');
		// Its links carry the ends of its runs first.
		setImmediate(() => {
			ended.agent?.stop();
			void ended.upstream.close();
		});
	}
}

function toAgentSettings(machine: MachineSettings, facts: ExecutorInfo): AgentSettings {
	const [, rack = ''] = facts.labels;
	return {
		name: machine.name,
		upstream: facts.id,
		service: facts.service,
		dataCentre: machine.dataCentre,
		rack,
		upstreamServer: {
			url: facts.address, slots: 1, connections: 1, taskTimeoutMs: 0,
		},
		agent: {
			seeds: machine.seeds.map(host => ({host, port: machine.linksPort})), discoverMs, drainMs: machine.graceMs - shutdownReserveMs, resultMemoryBytes,
		},
		platform: {url: '', timeoutMs: storeTimeoutMs},
		log: {level: 'info'},
		metrics: {address: undefined, prefix: ''},
	};
}
