/**
 * A server of the kind that programs use, for tests.
 */
import type {ExecutionContext} from 'ava';
import {createSystemClock} from '../src/process/clock.js';
import {startHttpServer, type HttpServerOptions} from '../src/process/http-server.js';
import {noMetrics} from '../src/process/metrics.js';
import {createReadPacer} from '../src/process/read-pacer.js';
import {createRefusalLog} from '../src/process/refusal-log.js';
import {createRequestMemory} from '../src/process/request-memory.js';
import {silentLog} from './silent-log.js';

/** Serves `app` on loopback until the end of the test; returns the port. */
export async function serveForTest(t: ExecutionContext, app: HttpServerOptions['app'], changes: Partial<HttpServerOptions> & {readonly memoryBytes?: number} = {}): Promise<number> {
	const clock = createSystemClock();
	const {memoryBytes = 100_000_000, ...options} = changes;
	const server = await startHttpServer({
		clock, memory: createRequestMemory({clock, limitBytes: memoryBytes}), refusals: createRefusalLog({clock, log: silentLog, metrics: noMetrics}), pacer: createReadPacer(clock),
	}, {
		name: 'test', app, address: {host: '127.0.0.1', port: 0}, maxBodyBytes: 262_144, maxHeaderBytes: 16_384, maxConnections: 1000, keepAliveMs: 60_000, ...options,
	});
	t.teardown(() => {
		void server.close();
	});
	return server.port;
}
