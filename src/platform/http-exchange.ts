/**
 * Small HTTP calls over an undici pool. `Dispatcher.dispatch` is used instead of `request`, which creates a stream, an
 * abort signal and several promises for each call: an agent makes some sixty calls a second on a share of a core.
 */
import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import VError from 'verror';
import type {Clock, Milliseconds} from '../process/clock.js';

/** One HTTP request and the time allowed for its whole response. */
export type HttpRequest = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly timeoutMs: Milliseconds;
};

/** A complete response. */
export type HttpResponse = {
	readonly status: number;
	readonly text: string;
};

/** Name of the error of a request that was not sent, and that never will be: it got no connection, or no free one in time. */
export const requestNotSent = 'RequestNotSent';

/** Sends a request. Resolves to an error if the connection fails or the response is not complete in time. */
export async function exchangeHttp(clock: Clock, dispatcher: Pick<Dispatcher, 'dispatch'>, req: HttpRequest): Promise<HttpResponse | Error> {
	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let controller: Dispatcher.DispatchController | undefined;
		let status = 0;
		let isTimedOut = false;
		const timer = clock.after(req.timeoutMs, () => {
			isTimedOut = true;
			const timeout = new Error(`no response within ${req.timeoutMs} ms`);
			controller?.abort(timeout);
			fail(timeout);
		});
		const {method, path, headers, body} = req;
		dispatcher.dispatch({
			method, path, headers, body,
		}, {
			onRequestStart(started) {
				controller = started;
				if (isTimedOut) {
					// The request waited for a free connection until now and must not be sent any more.
					started.abort(new Error('the request has timed out'));
				}
			},
			onResponseStart(_controller, statusCode) {
				status = statusCode;
			},
			onResponseData(_controller, chunk) {
				chunks.push(chunk);
			},
			onResponseEnd() {
				timer.cancel();
				resolve({status, text: toText(chunks)});
			},
			onResponseError(_controller, error) {
				timer.cancel();
				fail(error);
			},
		});

		function fail(err: Error): void {
			resolve(controller === undefined ? new VError({name: requestNotSent, cause: err}, 'the request was not sent') : err);
		}
	});
}

function toText(chunks: readonly Uint8Array[]): string {
	return (chunks.length === 1 ? Buffer.from(chunks[0]!.buffer, chunks[0]!.byteOffset, chunks[0]!.byteLength) : Buffer.concat(chunks)).toString();
}
