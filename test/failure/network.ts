/**
 * The simulated network: which processes listen, which streams between agents and entries are open, which
 * pairs cannot reach each other, and requests with their replies.
 */
import type {LinkConnection} from '../../src/connection/link-client.js';
import type {LinkHub} from '../../src/connection/link-server.js';
import type {Milliseconds} from '../../src/process/clock.js';
import type {SimulatedProcess, Simulation} from './simulation.js';
import {createStream, type SimulatedStream, type StreamFaults} from './stream.js';

/** A process that accepts connections at its address. */
export type Listener = {
	readonly address: string;
	readonly process: SimulatedProcess;
	readonly links: LinkHub;
};

/** The network of one run. Processes are named by the part of their name that outlives a restart. */
export type Network = {
	readonly faults: StreamFaults;
	listen(listener: Listener): void;
	connect(agent: SimulatedProcess, address: string): LinkConnection;
	/** Cuts the streams between two processes and lets no new ones through for a time. */
	cut(agent: string, entry: string, notices: readonly [Milliseconds, Milliseconds], blockedMs: Milliseconds): void;
	/** The open streams between two processes carry nothing to one end any more; new ones work. */
	silence(agent: string, entry: string, at: 'agent' | 'entry'): void;
	/** Nothing passes between the two, in either direction. */
	block(a: string, b: string, duration: Milliseconds): void;
	isBlocked(a: string, b: string): boolean;
	/** Kills the process; its peers notice after a time. */
	kill(process: SimulatedProcess, noticeMs: Milliseconds): void;
	/** Freezes the process; its peers drop it when it has not answered their pings. */
	freeze(process: SimulatedProcess, duration: Milliseconds): void;
	/** Whether the process has answered pings of late. */
	isResponsive(process: SimulatedProcess): boolean;
	/** Sends a request; undefined if no reply comes. Both ways take their time and may fail. */
	request<T>(from: string, to: SimulatedProcess, action: () => Promise<T>, timeout: Milliseconds): Promise<T | undefined>;
};

/** Time after which pings that stay unanswered end a connection. */
const keepaliveMs: Milliseconds = 4000;

/** Creates a network without any process. */
export function createNetwork(sim: Simulation): Network {
	const {clock, random: dice} = sim;
	const faults: StreamFaults = {repeatChance: 0};
	const listeners = new Map<string, Listener>();
	const blocked = new Map<string, Milliseconds>();
	const frozenSince = new Map<SimulatedProcess, Milliseconds>();
	let streams: SimulatedStream[] = [];

	return {
		faults,
		listen(listener) {
			listeners.set(listener.address, listener);
		},
		connect: (agent, address) => ({
			open: () => open(agent, address),
			close: () => undefined,
		}),
		cut(agent, entry, [agentNotices, entryNotices], blockedMs) {
			block(agent, entry, blockedMs);
			for (const stream of streams) {
				if (getHostName(stream.agent) === agent && getHostName(stream.entry) === entry) {
					stream.cut(agentNotices, entryNotices);
				}
			}
		},
		silence(agent, entry, at) {
			for (const stream of streams) {
				if (getHostName(stream.agent) === agent && getHostName(stream.entry) === entry) {
					stream.silence(at);
				}
			}
		},
		block,
		isBlocked,
		kill(process, noticeMs) {
			process.kill();
			cutAll(process, noticeMs);
		},
		freeze(process, duration) {
			if (process.isFrozen() || !process.isAlive()) {
				return;
			}

			process.freeze();
			frozenSince.set(process, clock.now());
			clock.after(keepaliveMs, () => {
				if (duration > keepaliveMs) {
					cutAll(process, 0);
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

	function open(agent: SimulatedProcess, address: string): ReturnType<LinkConnection['open']> {
		const listener = listeners.get(address);
		const isReachable = listener?.process.isAlive() && !isBlocked(getHostName(agent), address);
		const stream = createStream(sim, agent, listener?.process ?? agent, faults);
		streams = [...streams.filter(other => other.isOpen()), stream];
		if (isReachable) {
			clock.after(dice.integer(1, 3), () => {
				listener!.process.perform(() => {
					listener!.links.accept(stream.server);
				});
			});
		} else {
			stream.cut(dice.integer(1, 200), 0);
		}

		return stream.client;
	}

	function cutAll(process: SimulatedProcess, noticeMs: Milliseconds): void {
		for (const stream of streams) {
			if (stream.agent === process || stream.entry === process) {
				stream.cut(noticeMs, noticeMs);
			}
		}
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
				pass(from, to, () => {
					timer.cancel();
					resolve(value);
				});
			};

			pass(from, to, () => {
				if (to.isAlive()) {
					void perform(to, action).then(reply);
				} else {
					reply(undefined);
				}
			});
		});
	}

	function pass(from: string, to: SimulatedProcess, deliver: () => void): void {
		clock.after(dice.integer(1, 3), () => {
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

/** The name that a process keeps over its restarts. */
export function getHostName(process: SimulatedProcess): string {
	return process.name.split('-')[0]!;
}

function getPair(a: string, b: string): string {
	return [a, b].toSorted().join('|');
}
