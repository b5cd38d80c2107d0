/**
 * Counts the bytes that this process receives and sends, by the purpose of their TCP connections. Node's diagnostics channels report
 * each new socket, so no code on the way of a message has to count.
 */
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

/** Bytes in both directions since the start of the process. */
export type TrafficCount = {
	readonly received: number;
	/** Includes what waits in this process because the connection takes no more. */
	readonly sent: number;
};

/** The traffic of one process. */
export type SocketTraffic = {
	/** Returns the bytes of all connections, closed ones included, by purpose. */
	getCounts(): ReadonlyMap<string, TrafficCount>;
	/** Returns the connections that are open, or being opened. */
	getOpenSockets(): readonly CountedSocket[];
	/** Stops to follow new connections. */
	stop(): void;
};

/** The part of a socket that is counted. */
export type CountedSocket = Pick<Socket, 'bytesRead' | 'bytesWritten' | 'localPort' | 'remotePort' | 'destroyed'> & {
	once(event: 'close', listener: () => void): unknown;
};

type TrackedSocket = {
	readonly socket: CountedSocket;
	readonly isAccepted: boolean;
	purpose: string | undefined;
	last: TrafficCount;
};

const noTraffic: TrafficCount = {received: 0, sent: 0};
/** Names of Node's channels for connections that this process has accepted and opened. */
const channelNames = ['net.server.socket', 'net.client.socket'] as const;

/** Follows all connections that are opened from now on. `getPurpose` is called once for each of them, when it is established. */
export function createSocketTraffic(getPurpose: (socket: CountedSocket, isAccepted: boolean) => string): SocketTraffic {
	const sockets = new Set<TrackedSocket>();
	const counts = new Map<string, TrafficCount>();
	const listeners = channelNames.map(name => [name, (message: unknown) => {
		if (hasSocket(message)) {
			track(message.socket, name === 'net.server.socket');
		}
	}] as const);
	for (const [name, listener] of listeners) {
		subscribe(name, listener);
	}

	return {
		getCounts() {
			for (const tracked of sockets) {
				update(tracked);
			}

			return counts;
		},
		getOpenSockets: () => Array.from(sockets, ({socket}) => socket),
		stop() {
			for (const [name, listener] of listeners) {
				unsubscribe(name, listener);
			}
		},
	};

	function track(socket: CountedSocket, isAccepted: boolean): void {
		const tracked: TrackedSocket = {
			socket, isAccepted, purpose: undefined, last: noTraffic,
		};
		sockets.add(tracked);
		learnPurpose(tracked);
		socket.once('close', () => {
			update(tracked);
			sockets.delete(tracked);
		});
	}

	// The ports of a connection are known once it is established, and no longer after its end.
	function learnPurpose(tracked: TrackedSocket): void {
		const {socket, isAccepted} = tracked;
		tracked.purpose ??= socket.remotePort === undefined ? undefined : getPurpose(socket, isAccepted);
	}

	function update(tracked: TrackedSocket): void {
		const {socket, last} = tracked;
		learnPurpose(tracked);
		const {purpose} = tracked;
		const [received, sent] = [socket.bytesRead, socket.bytesWritten];
		if (purpose === undefined || (received === last.received && sent === last.sent)) {
			return;
		}

		const total = counts.get(purpose) ?? noTraffic;
		counts.set(purpose, {
			received: total.received + Math.max(0, received - last.received),
			sent: total.sent + Math.max(0, sent - last.sent),
		});
		tracked.last = {received, sent};
	}
}

function hasSocket(message: unknown): message is {readonly socket: CountedSocket} {
	return typeof message === 'object' && message !== null && 'socket' in message;
}
