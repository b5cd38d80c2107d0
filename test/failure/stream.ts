/**
 * Simulated gRPC streams between two processes, which deliver in order and with delays, and can be cut at any time.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import type {SimulatedProcess, Simulation} from './simulation.js';

/** Which end of a stream: that of the process that opened it, or that of the process that accepted it. */
export type StreamEnd = 'client' | 'server';

/** One stream, without the types of its batches. */
export type SimulatedStream = {
	readonly clientProcess: SimulatedProcess;
	readonly serverProcess: SimulatedProcess;
	isOpen(): boolean;
	/** Stops delivery to this end without an error at either end. */
	silence(at: StreamEnd): void;
	/** Delivers what is sent to the accepting end from now on only after `duration`, in order, as over TCP when packets are lost. */
	hold(duration: Milliseconds): void;
	/** Whether something that was sent to the accepting end is held. */
	isHeld(): boolean;
	/** Lets the opening end see an error, or have ended if its process has: the accepting end still receives what was sent before. */
	giveUp(): void;
	/** Drops everything in flight and closes the stream; each end notices after its own delay. */
	cut(clientNotices: Milliseconds, serverNotices: Milliseconds): void;
};

/** One stream with both its ends. */
export type TypedStream<ToServer, ToClient> = SimulatedStream & {
	readonly client: {
		on(event: string, listener: Listener<ToClient>): void;
		write(batch: ToServer): void;
		cancel(): void;
	};
	readonly server: {
		on(event: string, listener: Listener<ToServer>): void;
		write(batch: ToClient): void;
		end(): void;
	};
};

/** Faults of all streams. */
export type StreamFaults = {
	/** Probability that a batch is delivered again later, even after the stream was cut. */
	repeatChance: number;
	/** Returns by how much a batch that is sent now is late, and with it all later ones of the same stream. */
	getDelay(from: SimulatedProcess, to: SimulatedProcess): Milliseconds;
};

/** What is sent in one direction of a stream. */
export type BatchKind<T> = {
	readonly codec: {encode(message: T): {finish(): Uint8Array}; decode(bytes: Uint8Array): T};
	/** Whether a batch may be delivered again later. */
	isRepeatable(batch: T): boolean;
};

/** The batches of both directions of a stream. */
export type StreamBatches<ToServer, ToClient> = {
	readonly toServer: BatchKind<ToServer>;
	readonly toClient: BatchKind<ToClient>;
};

/** The processes between which one direction of a stream delivers, and the end to which it does. */
type Ends = {readonly from: SimulatedProcess; readonly to: SimulatedProcess; readonly end: StreamEnd};

type Direction<T> = {send(batch: T): void; close(event: string): void; hold(duration: Milliseconds): void; isHeld(): boolean};

const maxRepeatDelayMs: Milliseconds = 4000;

/** Creates an open stream; nothing is delivered before listeners are added. */
export function createStream<ToServer, ToClient>(sim: Simulation, clientProcess: SimulatedProcess, serverProcess: SimulatedProcess, batches: StreamBatches<ToServer, ToClient>, faults: StreamFaults): TypedStream<ToServer, ToClient> {
	let isOpen = true;
	const silenced = new Set<StreamEnd>();
	const atClient = createListeners<ToClient>();
	const atServer = createListeners<ToServer>();
	const toServer = createDirection(batches.toServer, {from: clientProcess, to: serverProcess, end: 'server'}, atServer);
	const toClient = createDirection(batches.toClient, {from: serverProcess, to: clientProcess, end: 'client'}, atClient);

	return {
		clientProcess,
		serverProcess,
		isOpen: () => isOpen,
		silence(at) {
			silenced.add(at);
		},
		hold: toServer.hold,
		isHeld: toServer.isHeld,
		giveUp() {
			toServer.close('cancelled');
			notify(clientProcess, atClient, 'error', 0);
		},
		client: {
			on: atClient.on,
			write: toServer.send,
			cancel() {
				toServer.close('cancelled');
			},
		},
		server: {
			on: atServer.on,
			write: toClient.send,
			end() {
				toClient.close('end');
			},
		},
		cut(clientNotices, serverNotices) {
			if (isOpen) {
				isOpen = false;
				notify(clientProcess, atClient, 'error', clientNotices);
				notify(serverProcess, atServer, 'cancelled', serverNotices);
			}
		},
	};

	function notify(to: SimulatedProcess, listeners: Pick<Listeners<never>, 'emit'>, event: string, delay: Milliseconds): void {
		sim.clock.after(delay, () => {
			to.perform(() => {
				listeners.emit(event);
			});
		});
	}

	function createDirection<T>({codec, isRepeatable}: BatchKind<T>, {from, to, end}: Ends, listeners: Listeners<T>): Direction<T> {
		let lastAt = 0;
		let heldUntil = 0;

		return {
			send(batch) {
				const bytes = codec.encode(batch).finish();
				const deliver = () => {
					to.perform(() => {
						listeners.emit('data', codec.decode(bytes));
					});
				};

				let isDelivered = false;
				scheduleInOrder(() => {
					isDelivered = true;
					deliver();
				});
				if (isRepeatable(batch) && sim.random.chance(faults.repeatChance)) {
					// A stream is ordered: a batch that was dropped by a cut cannot arrive after all.
					sim.clock.after(sim.random.integer(0, maxRepeatDelayMs), () => {
						if (isDelivered) {
							deliver();
						}
					});
				}
			},
			hold(duration) {
				heldUntil = sim.clock.now() + duration;
				lastAt = Math.max(lastAt, heldUntil);
			},
			isHeld: () => isOpen && sim.clock.now() < heldUntil,
			close(event) {
				scheduleInOrder(() => {
					isOpen = false;
					to.perform(() => {
						listeners.emit(event);
					});
				});
			},
		};

		function scheduleInOrder(action: () => void): void {
			lastAt = Math.max(lastAt, sim.clock.now() + sim.random.integer(1, 3) + faults.getDelay(from, to));
			sim.clock.after(lastAt - sim.clock.now(), () => {
				if (isOpen && !silenced.has(end)) {
					action();
				}
			});
		}
	}
}

type Listener<T> = (...batches: readonly T[]) => void;

type Listeners<T> = {
	on(event: string, listener: Listener<T>): void;
	emit(event: string, ...batches: readonly T[]): void;
};

function createListeners<T>(): Listeners<T> {
	const listeners = new Map<string, Array<Listener<T>>>();

	return {
		on(event, listener) {
			listeners.set(event, [...listeners.get(event) ?? [], listener]);
		},
		emit(event, ...batches) {
			for (const listener of listeners.get(event) ?? []) {
				listener(...batches);
			}
		},
	};
}
