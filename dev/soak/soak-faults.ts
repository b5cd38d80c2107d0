/**
 * The faults of a soak, which are drawn from its seed and come in series and overlap.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {createUnfinishedHeaders, createUnfinishedRequest, startCrowd} from '../crowd.js';
import {
	platformPorts, platformRoute, type PlatformInstance, type PlatformSystem,
} from '../platform-system.js';
import {drawExponential, drawInteger, type Random} from '../random.js';
import type {Direction, FaultProxy} from './fault-proxy.js';

/** Injects faults into one system. */
export type FaultInjector = {
	/** Descriptions of the faults so far, with their times since the start. */
	readonly faults: readonly string[];
	/** Names of the processes that were ended and not started again yet. */
	isExpectedToBeDown(name: string): boolean;
	/** Injects faults until `until` on the wall clock, then ends all of them. Resolves when every process runs again. */
	run(until: Milliseconds): Promise<void>;
};

/** A fault and the function that injects it; it resolves when the fault is over. */
type Fault = {
	readonly text: string;
	inject(): Promise<void>;
};

const meanGapMs: Milliseconds = 700;
const maxFaultMs: Milliseconds = 4000;
/** Signals to stop beyond the first one, fewer than this, and the time between two of them. */
const maxStopSignals = 4;
const stopSignalGapMs: Milliseconds = 300;
/** Share of all directions of a cut in which only one of them delivers nothing. */
const directionChoices: ReadonlyArray<readonly Direction[]> = [['forward'], ['backward'], ['forward', 'backward']];

/** What the crowds of unfinished requests send, by their descriptions. */
const {host, prefix} = platformRoute;
const crowdBody = {host, method: 'POST', bodyBytes: 262_144};
const crowdRequests: ReadonlyArray<readonly [string, Uint8Array]> = [
	['large chunks', createUnfinishedRequest({...crowdBody, path: `${prefix}00000000000c0de0`, chunkBytes: 65_536})],
	['chunks of one byte', createUnfinishedRequest({...crowdBody, path: `${prefix}00000000000c0de0`, chunkBytes: 1})],
	['bodies after a refusal', createUnfinishedRequest({...crowdBody, path: '/none/', chunkBytes: 64})],
	['half headers', createUnfinishedHeaders(host, 15_000)],
	['nothing', new Uint8Array()],
];
const maxCrowd = 200;

/** Creates an injector that has injected nothing; with crowds, it draws other faults from the same seed than without. */
export function createFaultInjector(system: PlatformSystem, random: Random, hasCrowds: boolean): FaultInjector {
	const faults: string[] = [];
	const ended = new Set<string>();
	const startedAt = Date.now();

	return {
		faults,
		isExpectedToBeDown: name => ended.has(name),
		async run(until) {
			const pending: Array<Promise<void>> = [];
			while (Date.now() < until) {
				await sleep(drawExponential(random, meanGapMs));
				const fault = drawFault();
				faults.push(`${Date.now() - startedAt} ${fault.text}`);
				pending.push(fault.inject());
			}

			await Promise.all(pending);
			await setStoreFaults({clear: true});
		},
	};

	function drawFault(): Fault {
		const instance = pick([...system.entries, ...system.agents]);
		const duration = drawInteger(random, 50, maxFaultMs);
		const directions = pick(directionChoices);
		const links = drawInteger(random, 0, system.proxies.links.length - 1);
		const executor = drawInteger(random, 0, system.proxies.executors.length - 1);
		const store = drawInteger(random, 0, system.proxies.stores.length - 1);
		const describe = (text: string) => `${text} ${duration} ms`;
		return pick<Fault>([
			{text: describe(`kill ${instance.name}`), inject: async () => restart(instance, duration, async () => instance.program.kill())},
			{text: describe(`stop ${instance.name}`), inject: async () => restart(instance, duration, async () => stop(instance, duration % maxStopSignals))},
			{text: describe(`pause ${instance.name}`), inject: async () => pause(instance, duration)},
			{text: `signal ${instance.name} that its settings changed`, inject: async () => signal(instance)},
			createProxyFault(`links of entry ${links + 1}`, system.proxies.links[links]!, directions, duration),
			createProxyFault(`executor ${executor + 1}`, system.proxies.executors[executor]!, directions, Math.min(duration, 2000)),
			createProxyFault(`store of process ${store + 1}`, system.proxies.stores[store]!, directions, duration),
			{text: describe('store down'), inject: async () => setStoreFor({down: true}, {down: false}, duration)},
			{text: describe('store slow'), inject: async () => setStoreFor({slowMs: 300}, {slowMs: 0}, duration)},
			{text: 'store loses answers', inject: async () => setStoreFaults({repliesToLose: 5})},
			...hasCrowds ? [createCrowdFault(duration)] : [],
		]);
	}

	function createCrowdFault(duration: Milliseconds): Fault {
		const {name, address} = pick(system.entries);
		const size = drawInteger(random, 1, maxCrowd);
		const [what, bytes] = pick(crowdRequests);
		return {
			text: `${size} clients send ${what} to ${name} and stay ${duration} ms`,
			async inject() {
				const crowd = startCrowd({
					address: {host: address, port: platformPorts.clients}, size, bytes, isReading: true,
				});
				await sleep(duration);
				crowd.leave();
			},
		};
	}

	function createProxyFault(name: string, proxy: FaultProxy, directions: readonly Direction[], duration: Milliseconds): Fault {
		const delay = drawInteger(random, 5, 150);
		const share = random();
		return pick<Fault>([
			{
				text: `${name}: delay of ${delay} ms for ${duration} ms`, inject: async () => setFor(duration, isOn => {
					proxy.setDelay(isOn ? delay : 0);
				}),
			},
			{
				text: `${name}: ${directions.join(' and ')} held for ${duration} ms`, inject: async () => setFor(duration, isOn => {
					proxy.setHeld(isOn ? directions : []);
				}),
			},
			{
				text: `${name}: ${directions.join(' and ')} silent on open connections`, async inject() {
					proxy.silence(directions);
				},
			},
			{
				text: `${name}: ${Math.round(100 * share)} % of the connections reset`, async inject() {
					proxy.reset(share, random);
				},
			},
		]);
	}

	/** Tells a process to stop, and again and again while it does. */
	async function stop({program}: PlatformInstance, repetitions: number): Promise<void> {
		const stopped = program.stop();
		for (let i = 0; i < repetitions; i++) {
			await Promise.race([stopped, sleep(stopSignalGapMs)]);
			program.signal('SIGTERM');
		}

		await stopped;
	}

	async function restart(instance: PlatformInstance, downTime: Milliseconds, end: () => Promise<unknown>): Promise<void> {
		// Faults overlap: another one may have ended the process already.
		if (ended.has(instance.name)) {
			return;
		}

		ended.add(instance.name);
		await end();
		await sleep(downTime);
		instance.restart();
		ended.delete(instance.name);
	}

	async function pause(instance: PlatformInstance, duration: Milliseconds): Promise<void> {
		const {program} = instance;
		program.pause();
		await sleep(duration);
		program.resume();
	}

	async function signal({name, program}: PlatformInstance): Promise<void> {
		if (!ended.has(name)) {
			program.signal('SIGHUP');
		}
	}

	async function setStoreFor(faultsOn: Readonly<Record<string, unknown>>, faultsOff: Readonly<Record<string, unknown>>, duration: Milliseconds): Promise<void> {
		await setStoreFaults(faultsOn);
		await sleep(duration);
		await setStoreFaults(faultsOff);
	}

	async function setStoreFaults(changes: Readonly<Record<string, unknown>>): Promise<void> {
		await system.setStoreFaults(changes);
	}

	function pick<T>(items: readonly T[]): T {
		return items[drawInteger(random, 0, items.length - 1)]!;
	}
}

async function setFor(duration: Milliseconds, set: (isOn: boolean) => void): Promise<void> {
	set(true);
	await sleep(duration);
	set(false);
}

async function sleep(duration: Milliseconds): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}
