/**
 * Clients in a thread of their own, which send requests while the thread of the server is blocked.
 */
import net from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';

/** What one client does. */
export type LateClient = {
	readonly path: string;
	readonly body: string;
	/** Headers besides those of every request, each followed by a line break. */
	readonly headers?: string;
	/** Whether it is connected before the server is blocked, or waits to be accepted meanwhile. */
	readonly connects: 'before' | 'meanwhile';
	/** How it leaves once its request is sent. */
	readonly leaves: 'end' | 'destroy' | 'never';
};

/** What the thread is started with. */
export type LateClientsData = {
	readonly port: number;
	readonly clients: readonly LateClient[];
	/** Set to 1 and notified when all requests are sent, and all clients that leave have left. */
	readonly done: Int32Array;
};

/** A message of the thread: all early clients are connected, or the response of one that has stayed. */
export type LateClientsMessage = {readonly kind: 'connected'} | {readonly kind: 'answered'; readonly path: string; readonly text: string};

// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the test starts the thread with this
const {port, clients, done} = workerData as LateClientsData;

await run();

async function run(): Promise<void> {
	const early = await connectAll('before');
	const start = new Promise(resolve => {
		parentPort!.once('message', resolve);
	});
	post({kind: 'connected'});
	await start;
	await Promise.all([...early, ...await connectAll('meanwhile')].map(async ([client, socket]) => send(client, socket)));
	Atomics.store(done, 0, 1);
	Atomics.notify(done, 0);
}

async function connectAll(connects: LateClient['connects']): Promise<ReadonlyArray<readonly [LateClient, net.Socket]>> {
	return Promise.all(clients.filter(client => client.connects === connects).map(async client => {
		const socket = net.connect(port, '127.0.0.1');
		await new Promise(resolve => {
			socket.once('connect', resolve);
		});
		return [client, socket] as const;
	}));
}

/** Sends a request; resolves once it has left this process, and its client if it leaves. */
async function send({path, body, headers = '', leaves}: LateClient, socket: net.Socket): Promise<void> {
	let text = '';
	socket.on('data', chunk => {
		text += chunk.toString();
		if (leaves === 'never' && text.includes('\r\n\r\n')) {
			post({kind: 'answered', path, text});
			socket.destroy();
		}
	});
	await new Promise<void>(resolve => {
		socket.write(`POST ${path} HTTP/1.1\r\nhost: h.example\r\ncontent-type: application/json\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`, () => {
			resolve();
		});
	});
	switch (leaves) {
		case 'end': {
			await new Promise<void>(resolve => {
				socket.end(resolve);
			});
			break;
		}

		case 'destroy': {
			await new Promise(resolve => {
				socket.once('close', resolve);
				socket.destroy();
			});
			break;
		}

		case 'never': {
			break;
		}
	}
}

function post(message: LateClientsMessage): void {
	parentPort!.postMessage(message);
}
