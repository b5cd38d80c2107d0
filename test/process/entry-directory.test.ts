import {createEntryDirectory, type EntryDirectory} from '../../src/process/entry-directory.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createMemoryPlatform, type MemoryPlatform} from '../../src/process/platform/memory.js';
import {describe, it} from '../describe.js';

const leaseMs = 3000;

/** Entries with directories over one platform; those in `dead` are linked to nobody. */
class World {
	readonly clock: FakeClock = createFakeClock();
	readonly platform: MemoryPlatform = createMemoryPlatform({clock: this.clock, timeout: 1000});
	readonly directories = new Map<string, EntryDirectory>();
	readonly dead = new Set<string>();
	readonly lost: string[] = [];

	add(name: string): void {
		this.directories.set(name, createEntryDirectory({
			clock: this.clock,
			table: this.platform.table,
			self: {name, incarnation: name, links: `${name}:1`},
			leaseMs,
			isLinked: other => !this.dead.has(other),
			onChanged: () => undefined,
			onDeclaredDead: () => {
				this.lost.push(name);
			},
		}));
	}

	kill(name: string): void {
		this.directories.get(name)!.stop();
		this.dead.add(name);
	}

	/** Advances in small steps, letting promises settle after each. */
	async advance(duration: number): Promise<void> {
		for (let passed = 0; passed < duration; passed += 100) {
			this.clock.advance(100);
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	}
}

async function createWorld(names: readonly string[]): Promise<World> {
	const world = new World();
	for (const name of names) {
		world.add(name);
	}

	await world.advance(2 * leaseMs);
	return world;
}

describe('entry directory', () => {
	it('lists live entries and buries a killed one within three leases and a half', async t => {
		const world = await createWorld(['a', 'b', 'c']);
		const directory = world.directories.get('a')!;
		t.is(directory.getLive().length, 3);
		world.kill('c');
		await world.advance(3.5 * leaseMs);
		t.is(directory.getStatus('c'), 'dead');
		t.deepEqual(world.lost, []);
	});

	describe('outage of the platform', () => {
		it('does not silence the others when one entry dies in it', async t => {
			const world = await createWorld(['a', 'b', 'c']);
			world.platform.setFaults({down: true});
			world.kill('c');
			await world.advance(10 * leaseMs);
			t.is(await world.directories.get('a')!.confirmLease(), 'held');
			t.is(await world.directories.get('b')!.confirmLease(), 'held');
		});

		it('makes no reply wait for the platform', async t => {
			const world = await createWorld(['a', 'b']);
			world.platform.setFaults({slowMs: 1_000_000});
			await world.advance(2 * leaseMs);
			const directory = world.directories.get('a')!;
			for (let i = 0; i < 100; i++) {
				// The clock stands still: a call to the platform would leave this pending.
				t.is(await directory.confirmLease(), 'held');
			}
		});

		it('does not count the lease of an entry that is linked to nobody as held', async t => {
			const world = await createWorld(['a', 'b']);
			world.platform.setFaults({down: true});
			await world.advance(leaseMs);
			world.dead.add('b');
			await world.advance(leaseMs);
			t.is(await world.directories.get('a')!.confirmLease(), 'unconfirmed');
		});
	});
});
