/**
 * Simulated gRPC streams between an agent and an entry, which deliver in order and with delays, and can be cut at any time.
 */
import type {LinkConnection} from '../../src/connection/link-client.js';
import type {LinkStream} from '../../src/connection/link-server.js';
import {AgentBatch, EntryBatch} from '../../src/generated/kingcuplane.js';
import type {Milliseconds} from '../../src/process/clock.js';
import type {SimulatedProcess, Simulation} from './simulation.js';

/** One stream with both its ends. */
export type SimulatedStream = {
	readonly client: ReturnType<LinkConnection['open']>;
	readonly server: LinkStream;
	readonly agent: SimulatedProcess;
	readonly entry: SimulatedProcess;
	isOpen(): boolean;
	/** Stops delivery to this end without an error at either end. */
	silence(at: 'agent' | 'entry'): void;
	/** Drops everything in flight and closes the stream; each end notices after its own delay. */
	cut(agentNotices: Milliseconds, entryNotices: Milliseconds): void;
};

/** Faults of all streams: the probability that a batch is delivered again later, even after the stream was cut. */
export type StreamFaults = {
	repeatChance: number;
};

type Codec<T> = {encode(message: T): {finish(): Uint8Array}; decode(bytes: Uint8Array): T};
type Direction<T> = {send(batch: T): void; close(event: string): void};

const maxRepeatDelayMs: Milliseconds = 4000;

/** Creates an open stream; nothing is delivered before listeners are added. */
export function createStream(sim: Simulation, agent: SimulatedProcess, entry: SimulatedProcess, faults: StreamFaults): SimulatedStream {
	let isOpen = true;
	const silenced = new Set<SimulatedProcess>();
	const atAgent = createListeners<EntryBatch>();
	const atEntry = createListeners<AgentBatch>();
	const toEntry = createDirection<AgentBatch>(AgentBatch, entry, atEntry, batch => batch.hello === undefined);
	const toAgent = createDirection<EntryBatch>(EntryBatch, agent, atAgent, batch => batch.welcome === undefined);

	return {
		agent,
		entry,
		isOpen: () => isOpen,
		silence(at) {
			silenced.add(at === 'agent' ? agent : entry);
		},
		client: {
			on: atAgent.on,
			write: toEntry.send,
			cancel() {
				toEntry.close('cancelled');
			},
		},
		server: {
			on: atEntry.on,
			write: toAgent.send,
			end() {
				toAgent.close('end');
			},
		},
		cut(agentNotices, entryNotices) {
			if (isOpen) {
				isOpen = false;
				notify(agent, atAgent, 'error', agentNotices);
				notify(entry, atEntry, 'cancelled', entryNotices);
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

	function createDirection<T>(codec: Codec<T>, to: SimulatedProcess, listeners: Listeners<T>, isRepeatable: (batch: T) => boolean): Direction<T> {
		let lastAt = 0;

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
			lastAt = Math.max(lastAt, sim.clock.now() + sim.random.integer(1, 3));
			sim.clock.after(lastAt - sim.clock.now(), () => {
				if (isOpen && !silenced.has(to)) {
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
