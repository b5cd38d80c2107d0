import {createEntryDirectory, type EntryDirectory} from '../../src/process/entry-directory.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createMemoryPlatform, type MemoryPlatform} from '../../src/process/platform/memory.js';
import {describe, it} from '../describe.js';

const leaseMs = 3000;

/** Entries whose directories share one platform. All are linked to each other, except those in `unlinked`. */
class SimulatedCluster {
	readonly clock: FakeClock = createFakeClock();
	readonly platform: MemoryPlatform = createMemoryPlatform({clock: this.clock, timeout: 1000});
	readonly directories = new Map<string, EntryDirectory>();
	readonly unlinked = new Set<string>();
	readonly declaredDead: string[] = [];

	add(name: string): void {
		this.directories.set(name, createEntryDirectory({
			clock: this.clock,
			table: this.platform.table,
			self: {name, incarnation: name, links: `${name}:1`},
			leaseMs,
			isLinked: other => !this.unlinked.has(other),
			onChanged: () => undefined,
			onDeclaredDead: () => {
				this.declaredDead.push(name);
			},
		}));
	}

	kill(name: string): void {
		this.directories.get(name)!.stop();
		this.unlinked.add(name);
	}

	/** Advances the clock in small steps and lets pending promises settle after each. */
	async advance(duration: number): Promise<void> {
		for (let passed = 0; passed < duration; passed += 100) {
			this.clock.advance(100);
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	}
}

async function createCluster(names: readonly string[]): Promise<SimulatedCluster> {
	const cluster = new SimulatedCluster();
	for (const name of names) {
		cluster.add(name);
	}

	await cluster.advance(2 * leaseMs);
	return cluster;
}

describe('entry directory', () => {
	it('lists live entries and declares a killed one dead within three and a half leases', async t => {
		const cluster = await createCluster(['a', 'b', 'c']);
		const directory = cluster.directories.get('a')!;
		t.is(directory.getLive().length, 3);
		cluster.kill('c');
		await cluster.advance(3.5 * leaseMs);
		t.is(directory.getStatus('c'), 'dead');
		t.deepEqual(cluster.declaredDead, []);
	});

	describe('outage of the platform', () => {
		it('lets the other entries keep their leases when one entry dies', async t => {
			const cluster = await createCluster(['a', 'b', 'c']);
			cluster.platform.setFaults({down: true});
			cluster.kill('c');
			await cluster.advance(10 * leaseMs);
			t.is(await cluster.directories.get('a')!.confirmLease(), 'held');
			t.is(await cluster.directories.get('b')!.confirmLease(), 'held');
		});

		it('does not make the confirmation of a lease wait for the platform', async t => {
			const cluster = await createCluster(['a', 'b']);
			cluster.platform.setFaults({slowMs: 1_000_000});
			await cluster.advance(2 * leaseMs);
			const directory = cluster.directories.get('a')!;
			for (let i = 0; i < 100; i++) {
				// The clock does not advance here, so a call to the platform would stay pending.
				t.is(await directory.confirmLease(), 'held');
			}
		});

		it('does not confirm the lease of an entry that is not linked to any other', async t => {
			const cluster = await createCluster(['a', 'b']);
			cluster.platform.setFaults({down: true});
			await cluster.advance(leaseMs);
			cluster.unlinked.add('b');
			await cluster.advance(leaseMs);
			t.is(await cluster.directories.get('a')!.confirmLease(), 'unconfirmed');
		});
	});
});
