/**
 * A loopback proxy that disturbs the connections through it: delays, resets, and directions that deliver nothing.
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import type {Address} from '../../src/process/address.js';
import type {Milliseconds} from '../../src/process/clock.js';

/** A direction of a connection: from the side that opened it, or to it. */
export type Direction = 'forward' | 'backward';

/** Chooses connections by what their opener has sent first, as Latin-1 text. */
export type ConnectionFilter = (opening: string) => boolean;

/** A proxy whose faults can be changed while it runs. */
export type FaultProxy = {
	/** Where the proxy listens. */
	readonly address: Address;
	/** Sets to where connections lead; before that they are accepted and lead nowhere. */
	setTarget(target: Address): void;
	/** Delays everything that is sent from now on, on the connections that `isAffected` chooses; on all if undefined. */
	setDelay(delay: Milliseconds, isAffected?: ConnectionFilter): void;
	/**
	 * Holds back what is sent in these directions, on open and new connections that `isAffected` chooses, or on all if undefined, until it
	 * is called without any.
	 */
	setHeld(directions: readonly Direction[], isAffected?: ConnectionFilter): void;
	/** Lets the connections that are open now, or those of them that `isAffected` chooses, deliver nothing any more; new ones work. */
	silence(directions: readonly Direction[], isAffected?: ConnectionFilter): void;
	/** Resets a share of the open connections. */
	reset(share: number, random: () => number): void;
	close(): Promise<void>;
};

type ProxiedConnection = {
	readonly sockets: readonly [net.Socket, net.Socket];
	readonly silenced: Set<Direction>;
	/** Bytes that are held back, by direction. */
	readonly held: Readonly<Record<Direction, Uint8Array[]>>;
	/** When the last delayed bytes are delivered, by direction. */
	readonly deliveredAt: Record<Direction, Milliseconds>;
	/** The first bytes that the opener has sent. */
	opening: string;
};

const directions: readonly Direction[] = ['forward', 'backward'];
/** Time in which bytes that were held back are read before the end of their connection, which would discard them. */
const readMs: Milliseconds = 50;
/** Number of bytes to choose connections by; the name of the opener comes with its first message. */
const maxOpeningBytes = 4096;

/** Starts a proxy; port 0 lets the system choose. */
export async function startFaultProxy(listen: Address): Promise<FaultProxy> {
	const connections = new Set<ProxiedConnection>();
	let target: Address | undefined;
	let delay: Milliseconds = 0;
	let isDelayed: ConnectionFilter = () => true;
	let heldDirections: readonly Direction[] = [];
	let isAffectedByHold: ConnectionFilter = () => true;
	const server = net.createServer(accept);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(listen.port, listen.host, resolve);
	});
	const bound = server.address();

	return {
		address: {host: listen.host, port: typeof bound === 'object' && bound !== null ? bound.port : listen.port},
		setTarget(newTarget) {
			target = newTarget;
		},
		setDelay(newDelay, isAffected = () => true) {
			delay = newDelay;
			isDelayed = isAffected;
		},
		setHeld(newDirections, isAffected = () => true) {
			heldDirections = newDirections;
			isAffectedByHold = isAffected;
			for (const connection of connections) {
				releaseHeld(connection);
			}
		},
		silence(silenced, isAffected = () => true) {
			for (const connection of [...connections].filter(({opening}) => isAffected(opening))) {
				for (const direction of silenced) {
					connection.silenced.add(direction);
				}
			}
		},
		reset(share, random) {
			for (const connection of connections) {
				if (random() < share) {
					// No filter chooses it any more, although it is closed only at the end of this turn.
					connection.opening = '';
					connection.sockets[0].resetAndDestroy();
					connection.sockets[1].resetAndDestroy();
				}
			}
		},
		async close() {
			for (const {sockets} of connections) {
				sockets[0].destroy();
				sockets[1].destroy();
			}

			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};

	function accept(client: net.Socket): void {
		const upstream = target === undefined ? new net.Socket() : net.connect(target.port, target.host);
		const connection: ProxiedConnection = {
			sockets: [client, upstream], silenced: new Set(), held: {forward: [], backward: []}, deliveredAt: {forward: 0, backward: 0}, opening: '',
		};
		connections.add(connection);
		pump(connection, 'forward', client, upstream);
		pump(connection, 'backward', upstream, client);
	}

	function pump(connection: ProxiedConnection, direction: Direction, from: net.Socket, to: net.Socket): void {
		from.setNoDelay(true);
		from.on('data', (chunk: Uint8Array) => {
			if (direction === 'forward' && connection.opening.length < maxOpeningBytes) {
				connection.opening += Buffer.from(chunk.subarray(0, maxOpeningBytes - connection.opening.length)).toString('latin1');
			}

			if (isHeld(connection, direction)) {
				connection.held[direction].push(chunk);
			} else {
				deliver(connection, direction, chunk, to);
			}
		});
		from.on('error', () => undefined);
		from.on('close', () => {
			if (connection.sockets.every(socket => socket.destroyed)) {
				connections.delete(connection);
			}

			// A partition also holds back that a connection was closed.
			if (!isHeld(connection, direction)) {
				setTimeout(() => {
					to.destroy();
				}, getRemainingDelay(connection, direction));
			}
		});
	}

	function deliver({deliveredAt, opening}: ProxiedConnection, direction: Direction, chunk: Uint8Array, to: net.Socket): void {
		const at = Math.max(deliveredAt[direction], performance.now() + (isDelayed(opening) ? delay : 0));
		deliveredAt[direction] = at;
		if (at <= performance.now()) {
			to.write(chunk);
			return;
		}

		setTimeout(() => {
			to.write(chunk);
		}, at - performance.now());
	}

	function getRemainingDelay({deliveredAt}: ProxiedConnection, direction: Direction): Milliseconds {
		return Math.max(0, deliveredAt[direction] - performance.now()) + 1;
	}

	function releaseHeld(connection: ProxiedConnection): void {
		for (const direction of directions) {
			if (!isHeld(connection, direction)) {
				const to = connection.sockets[direction === 'forward' ? 1 : 0];
				const from = connection.sockets[direction === 'forward' ? 0 : 1];
				for (const chunk of connection.held[direction].splice(0)) {
					deliver(connection, direction, chunk, to);
				}

				if (from.destroyed) {
					setTimeout(() => {
						to.destroy();
					}, getRemainingDelay(connection, direction) + readMs);
				}
			}
		}
	}

	function isHeld({silenced, opening}: ProxiedConnection, direction: Direction): boolean {
		return silenced.has(direction) || (heldDirections.includes(direction) && isAffectedByHold(opening));
	}
}
