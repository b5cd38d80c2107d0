/**
 * The simulated network: listening processes, open streams between agents and entries, pairs of processes that cannot
 * reach each other, and requests with their replies.
 */
import type {LinkConnection} from '../../src/connection/link-client.js';
import type {LinkHub} from '../../src/connection/link-server.js';
import type {PeerHub} from '../../src/connection/peer-hub.js';
import type {PeerConnection} from '../../src/connection/peer-types.js';
import {AgentBatch, EntryBatch, PeerBatch} from '../../src/generated/kingcuplane.js';
import type {Milliseconds} from '../../src/process/clock.js';
import type {SimulatedProcess, Simulation} from './simulation.js';
import {
	createStream, type SimulatedStream, type StreamBatches, type StreamEnd, type StreamFaults, type TypedStream,
} from './stream.js';

/** A process that accepts connections at its address. */
export type Listener = {
	readonly address: string;
	readonly process: SimulatedProcess;
	readonly links: Pick<LinkHub, 'accept'>;
	readonly peers?: Pick<PeerHub, 'accept'>;
};

/** Shortest and longest additional delay of a batch. */
export type DelayRange = readonly [Milliseconds, Milliseconds];

/** The network of one run. Processes are identified by their host name, the part of the name that stays after a restart. */
export type Network = {
	readonly faults: StreamFaults;
	listen(listener: Listener): void;
	connect(agent: SimulatedProcess, address: string): LinkConnection;
	/** Connects an entry to another one. */
	connectPeer(entry: SimulatedProcess, address: string): PeerConnection;
	/**
	 * Cuts the streams that the process `client` has opened to the process `server`, and blocks new ones between them for
	 * `blockedMs`. `notices` are the delays after which the two notice.
	 */
	cut(client: string, server: string, notices: readonly [Milliseconds, Milliseconds], blockedMs: Milliseconds): void;
	/** Stops the open streams of the process `client` to the process `server` from delivering anything to one end; new streams work. */
	silence(client: string, server: string, at: StreamEnd): void;
	/** Holds for `duration` what `client` sends on each stream to `server` that it opens within a time. */
	holdNew(client: string, server: string, within: Milliseconds, duration: Milliseconds): void;
	/** Lets the process `client` give up its open streams to the process `server`, where what it has sent on them still arrives. */
	giveUp(client: string, server: string): void;
	/** Holds for `duration` what `client` sends on the next stream to `server` that it opens, and calls `onOpened` then. */
	holdNext(client: string, server: string, duration: Milliseconds, onOpened: () => void): void;
	/**
	 * Delays, for a time, each batch that `from` sends to `to` on any stream by a random time within the range. They still arrive in
	 * order, as over TCP when packets are lost.
	 */
	slow(from: string, to: string, range: DelayRange, duration: Milliseconds): void;
	/** Lets streams that `client` opens to `server` within a time get no answer, not even an error, as if their first packets were lost. */
	loseNew(client: string, server: string, within: Milliseconds): void;
	/** Drops everything between two processes, in both directions, for a time. */
	block(a: string, b: string, duration: Milliseconds): void;
	isBlocked(a: string, b: string): boolean;
	/** Kills the process; its peers notice after `noticeMs`, but at the end of a held stream only when that has delivered what was sent on it. */
	kill(process: SimulatedProcess, noticeMs: Milliseconds): void;
	/** Freezes the process for a time; its peers close their streams to it when their pings time out. */
	freeze(process: SimulatedProcess, duration: Milliseconds): void;
	/** Whether the process is alive and has answered pings recently. */
	isResponsive(process: SimulatedProcess): boolean;
	/** Sends a request; resolves to undefined if no reply arrives. Request and reply are delayed and may be lost. */
	request<T>(from: string, to: SimulatedProcess, action: () => Promise<T>, timeout: Milliseconds): Promise<T | undefined>;
};

/** Time without an answer to pings after which a connection is closed. */
const keepaliveMs: Milliseconds = 4000;

const linkBatches: StreamBatches<AgentBatch, EntryBatch> = {
	toServer: {codec: AgentBatch, isRepeatable: batch => batch.hello === undefined},
	toClient: {codec: EntryBatch, isRepeatable: batch => batch.welcome === undefined},
};
const peerBatches: StreamBatches<PeerBatch, PeerBatch> = {
	toServer: {codec: PeerBatch, isRepeatable: () => false},
	toClient: {codec: PeerBatch, isRepeatable: () => false},
};

/** Creates a network without any process. */
export function createNetwork(sim: Simulation): Network {
	const {clock, random} = sim;
	const faults: StreamFaults = {repeatChance: 0, getDelay};
	const listeners = new Map<string, Listener>();
	const blocked = new Map<string, Milliseconds>();
	const slowed = new Map<string, {readonly range: DelayRange; readonly until: Milliseconds}>();
	const held = new Map<string, {readonly duration: Milliseconds; readonly until: Milliseconds}>();
	const lostUntil = new Map<string, Milliseconds>();
	const heldNext = new Map<string, {readonly duration: Milliseconds; onOpened(): void}>();
	const frozenSince = new Map<SimulatedProcess, Milliseconds>();
	let streams: SimulatedStream[] = [];

	return {
		faults,
		listen(listener) {
			listeners.set(listener.address, listener);
		},
		connect: (agent, address) => ({
			open: () => open(agent, address, linkBatches, (listener, stream) => {
				listener.links.accept(stream);
			}),
			close: () => undefined,
		}),
		connectPeer: (entry, address) => ({
			exchange: () => open(entry, address, peerBatches, (listener, stream) => {
				listener.peers?.accept(stream);
			}),
			close: () => undefined,
		}),
		cut(client, server, [clientNotices, serverNotices], blockedMs) {
			block(client, server, blockedMs);
			for (const stream of getStreams(client, server)) {
				stream.cut(clientNotices, serverNotices);
			}
		},
		silence(client, server, at) {
			for (const stream of getStreams(client, server)) {
				stream.silence(at);
			}
		},
		holdNew(client, server, within, duration) {
			held.set(`${client}>${server}`, {duration, until: clock.now() + within});
		},
		giveUp(client, server) {
			for (const stream of getStreams(client, server)) {
				stream.giveUp();
			}
		},
		holdNext(client, server, duration, onOpened) {
			heldNext.set(`${client}>${server}`, {duration, onOpened});
		},
		slow(from, to, range, duration) {
			slowed.set(`${from}>${to}`, {range, until: clock.now() + duration});
		},
		loseNew(client, server, within) {
			lostUntil.set(`${client}>${server}`, clock.now() + within);
		},
		block,
		isBlocked,
		kill(process, noticeMs) {
			process.kill();
			for (const stream of getStreamsOf(process)) {
				// The machine lives on and goes on sending what the process has left.
				if (stream.clientProcess === process && stream.isHeld()) {
					stream.giveUp();
				} else {
					stream.cut(noticeMs, noticeMs);
				}
			}
		},
		freeze(process, duration) {
			if (process.isFrozen() || !process.isAlive()) {
				return;
			}

			process.freeze();
			frozenSince.set(process, clock.now());
			clock.after(keepaliveMs, () => {
				if (duration > keepaliveMs) {
					for (const stream of getStreamsOf(process)) {
						stream.cut(0, 0);
					}
				}
			});
			clock.after(duration, () => {
				frozenSince.delete(process);
				process.thaw();
			});
		},
		isResponsive: process => process.isAlive() && clock.now() - (frozenSince.get(process) ?? clock.now()) < keepaliveMs,
		request,
	};

	function getStreams(client: string, server: string): readonly SimulatedStream[] {
		return streams.filter(stream => getHostName(stream.clientProcess) === client && getHostName(stream.serverProcess) === server);
	}

	function getStreamsOf(process: SimulatedProcess): readonly SimulatedStream[] {
		return streams.filter(({clientProcess, serverProcess}) => clientProcess === process || serverProcess === process);
	}

	function open<ToServer, ToClient>(
		process: SimulatedProcess, address: string, batches: StreamBatches<ToServer, ToClient>,
		accept: (listener: Listener, stream: TypedStream<ToServer, ToClient>['server']) => void,
	): TypedStream<ToServer, ToClient>['client'] {
		const listener = listeners.get(address);
		const isReachable = listener?.process.isAlive() && !isBlocked(getHostName(process), address);
		const stream = createStream(sim, process, listener?.process ?? process, batches, faults);
		streams = [...streams.filter(other => other.isOpen()), stream];
		const hold = held.get(`${getHostName(process)}>${address}`);
		if (hold !== undefined && clock.now() < hold.until) {
			stream.hold(hold.duration);
		}

		const next = heldNext.get(`${getHostName(process)}>${address}`);
		if (next !== undefined && isReachable) {
			heldNext.delete(`${getHostName(process)}>${address}`);
			stream.hold(next.duration);
			next.onOpened();
		}

		if (clock.now() < (lostUntil.get(`${getHostName(process)}>${address}`) ?? 0)) {
			stream.silence('client');
			stream.silence('server');
		} else if (isReachable) {
			clock.after(random.integer(1, 3), () => {
				listener!.process.perform(() => {
					accept(listener!, stream.server);
				});
			});
		} else {
			stream.cut(random.integer(1, 200), 0);
		}

		return stream.client;
	}

	function getDelay(from: SimulatedProcess, to: SimulatedProcess): Milliseconds {
		const slowness = slowed.get(`${getHostName(from)}>${getHostName(to)}`);
		return slowness === undefined || slowness.until <= clock.now() ? 0 : random.integer(...slowness.range);
	}

	function block(a: string, b: string, duration: Milliseconds): void {
		blocked.set(getPair(a, b), clock.now() + duration);
	}

	function isBlocked(a: string, b: string): boolean {
		return (blocked.get(getPair(a, b)) ?? 0) > clock.now();
	}

	async function request<T>(from: string, to: SimulatedProcess, action: () => Promise<T>, timeout: Milliseconds): Promise<T | undefined> {
		return new Promise(resolve => {
			const timer = clock.after(timeout, () => {
				resolve(undefined);
			});
			const reply = (value: T | undefined) => {
				transmit(from, to, () => {
					timer.cancel();
					resolve(value);
				});
			};

			transmit(from, to, () => {
				if (to.isAlive()) {
					void perform(to, action).then(reply);
				} else {
					reply(undefined);
				}
			});
		});
	}

	function transmit(from: string, to: SimulatedProcess, deliver: () => void): void {
		clock.after(random.integer(1, 3), () => {
			if (!isBlocked(from, getHostName(to))) {
				deliver();
			}
		});
	}
}

async function perform<T>(process: SimulatedProcess, action: () => Promise<T>): Promise<T> {
	return new Promise(resolve => {
		process.perform(() => {
			void process.deliver(action()).then(resolve);
		});
	});
}

/** Returns the part of the name of a process that stays the same after a restart. */
export function getHostName(process: SimulatedProcess): string {
	return process.name.split('-')[0]!;
}

function getPair(a: string, b: string): string {
	return [a, b].toSorted().join('|');
}
