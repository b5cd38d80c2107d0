/**
 * HTTP servers of the programs that run on the platform.
 */
import {Hono} from 'hono';
import type {Address} from '../process/address.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import {
	startHttpServer, type HttpServer, type HttpServerHost, type HttpServerOptions,
} from '../process/http-server.js';
import type {Log} from '../process/log.js';
import type {PrometheusMetrics} from '../process/prometheus-metrics.js';
import {createReadPacer} from '../process/read-pacer.js';
import {createRefusalLog} from '../process/refusal-log.js';
import {getConnectionLimit, getRequestMemoryLimit} from '../process/request-limits.js';
import {createRequestMemory} from '../process/request-memory.js';
import type {MachineSettings} from './settings.js';

/** Dependencies of the servers of one process. */
export type PlatformServersHost = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: PrometheusMetrics;
	readonly machine: Pick<MachineSettings, 'ip' | 'metricsPort' | 'memoryBytes' | 'descriptors'>;
	/** Largest body that one of the servers accepts. */
	readonly maxBodyBytes: number;
};

/** The servers of one process, which share its memory for requests. */
export type PlatformServers = {
	/** What the servers share. */
	readonly host: HttpServerHost;
	/** Serves clients, or the executor beside an agent. */
	serve(name: string, app: HttpServerOptions['app'], address: Address): Promise<HttpServer>;
	/** Serves the balancer or operators, who send no bodies. */
	serveProbes(name: string, app: HttpServerOptions['app'], address: Address): Promise<HttpServer>;
	/** Serves the metrics of this process. */
	serveMetrics(): Promise<HttpServer>;
};

/** Idle connections stay open for longer than clients keep them, so that no request arrives on a connection that is being closed. */
const keepAliveMs: Milliseconds = 60_000;
const maxHeaderBytes = 16_384;
/** Probes come from few machines. */
const maxProbeConnections = 64;

/** Creates the servers of a process, of which none listens yet. */
export function createPlatformServers({
	clock, log, metrics, machine, maxBodyBytes,
}: PlatformServersHost): PlatformServers {
	const limitBytes = getRequestMemoryLimit(machine.memoryBytes, maxBodyBytes);
	const maxConnections = getConnectionLimit(machine.descriptors);
	log.info({requestMemoryBytes: limitBytes, maxConnections}, 'limits on clients');
	const host: HttpServerHost = {
		clock, memory: createRequestMemory({clock, limitBytes}), refusals: createRefusalLog({clock, log, metrics}), pacer: createReadPacer(clock),
	};

	return {
		host,
		serve: async (name, app, address) => start({
			name, app, address, maxBodyBytes, maxConnections,
		}),
		serveProbes,
		serveMetrics: async () => serveProbes(
			'metrics',
			new Hono().get('/metrics', async c => c.text(await metrics.getText())),
			{host: machine.ip, port: machine.metricsPort},
		),
	};

	async function serveProbes(name: string, app: HttpServerOptions['app'], address: Address): Promise<HttpServer> {
		return start({
			name, app, address, maxBodyBytes: 0, maxConnections: maxProbeConnections,
		});
	}

	async function start(options: Omit<HttpServerOptions, 'keepAliveMs' | 'maxHeaderBytes'>): Promise<HttpServer> {
		return startHttpServer(host, {...options, keepAliveMs, maxHeaderBytes});
	}
}
