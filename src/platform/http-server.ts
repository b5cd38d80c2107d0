/**
 * HTTP servers of the programs that run on the platform.
 */
import {createAdaptorServer, type ServerType} from '@hono/node-server';
import {Hono} from 'hono';
import type {Address} from '../process/address.js';
import type {Milliseconds} from '../process/clock.js';
import {listenHttp} from '../process/http-listen.js';
import type {PrometheusMetrics} from '../process/prometheus-metrics.js';

/** Idle connections stay open for longer than clients keep them, so that no request arrives on a connection that is being closed. */
const keepAliveMs: Milliseconds = 60_000;

/** Serves `app` at `address`. */
export async function serveHttp(app: Pick<Hono, 'fetch'>, address: Address): Promise<ServerType> {
	const server = createAdaptorServer({fetch: app.fetch, serverOptions: {keepAliveTimeout: keepAliveMs, requestTimeout: 0}});
	await listenHttp(server, address);
	return server;
}

/** Serves the metrics of this process. */
export async function serveMetrics(metrics: Pick<PrometheusMetrics, 'getText'>, address: Address): Promise<ServerType> {
	return serveHttp(new Hono().get('/metrics', async c => c.text(await metrics.getText())), address);
}
