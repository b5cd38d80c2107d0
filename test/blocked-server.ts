/**
 * Sends requests to a server whose thread is blocked meanwhile, as a process that stands still receives them.
 */
import {Worker} from 'node:worker_threads';
import type {ExecutionContext} from 'ava';
import type {LateClient, LateClientsData, LateClientsMessage} from './late-clients.js';

/** Time for which the server is blocked at most, while clients send and leave. */
const maxBlockedMs = 20_000;
const clientsOfEachKind = 8;

/** Creates clients of each kind; several of each, which the event loop reads in any order. */
export function createLateClients(createRequest: (i: number) => Pick<LateClient, 'path' | 'body' | 'headers'>): readonly LateClient[] {
	const kinds = (['before', 'meanwhile'] as const).flatMap(connects => (['end', 'destroy', 'never'] as const).map(leaves => ({connects, leaves})));
	return Array.from({length: clientsOfEachKind * kinds.length}, (_, i) => ({...kinds[i % kinds.length]!, ...createRequest(i)}));
}

/** Blocks this thread until the clients have sent their requests and those that leave have left. Returns the responses, which come later. */
export async function sendWhileBlocked(t: ExecutionContext, port: number, clients: readonly LateClient[]): Promise<readonly string[]> {
	const answered: string[] = [];
	const data: LateClientsData = {port, clients, done: new Int32Array(new SharedArrayBuffer(4))};
	const worker = new Worker(new URL('late-clients.js', import.meta.url), {workerData: data});
	t.teardown(async () => worker.terminate());
	await new Promise<void>(resolve => {
		worker.on('message', (message: LateClientsMessage) => {
			if (message.kind === 'connected') {
				resolve();
			} else {
				answered.push(message.text);
			}
		});
	});
	worker.postMessage('start');
	// The clients may be done before the wait begins; this thread has read nothing by then, as its event loop has not turned since.
	t.not(Atomics.wait(data.done, 0, 0, maxBlockedMs), 'timed-out');
	return answered;
}
