/**
 * HTTP servers of the programs that run on the platform.
 */
import {createAdaptorServer, type HttpBindings, type ServerType} from '@hono/node-server';
import {Hono} from 'hono';
import type {Address} from '../process/address.js';
import type {Milliseconds} from '../process/clock.js';
import {listenHttp} from '../process/http-listen.js';
import type {PrometheusMetrics} from '../process/prometheus-metrics.js';

/** Idle connections stay open for longer than clients keep them, so that no request arrives on a connection that is being closed. */
const keepAliveMs: Milliseconds = 60_000;

/** Serves `app` at `address`. */
export async function serveHttp(app: {fetch(req: Request, env: HttpBindings): Response | Promise<Response>}, address: Address): Promise<ServerType> {
	// The server below speaks HTTP/1.1, so the bindings are never those of HTTP/2.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	const server = createAdaptorServer({fetch: async (req, env) => app.fetch(req, env as HttpBindings), serverOptions: {keepAliveTimeout: keepAliveMs, requestTimeout: 0}});
	await listenHttp(server, address);
	return server;
}

/** Serves the metrics of this process. */
export async function serveMetrics(metrics: Pick<PrometheusMetrics, 'getText'>, address: Address): Promise<ServerType> {
	return serveHttp(new Hono().get('/metrics', async c => c.text(await metrics.getText())), address);
}
