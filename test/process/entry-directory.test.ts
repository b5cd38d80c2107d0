import {createEntryAddressReader, createEntryDirectory, type EntryDirectory} from '../../src/process/entry-directory.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createMemoryPlatform, type MemoryPlatform} from '../../src/process/platform/memory.js';
import {describe, it} from '../describe.js';
import {createRecordingLog, type RecordingLog} from '../recording-log.js';
import {silentLog} from '../silent-log.js';

const leaseMs = 3000;

function toAddress(name: string): string {
	return `10.0.0.${name.codePointAt(0)!}:7720`;
}

/** Entries whose directories share one platform. All are linked to each other, except those in `unlinked`. */
class SimulatedCluster {
	readonly clock: FakeClock = createFakeClock();
	readonly platform: MemoryPlatform = createMemoryPlatform({clock: this.clock, timeout: 1000});
	readonly directories = new Map<string, EntryDirectory>();
	readonly unlinked = new Set<string>();
	readonly declaredDead: string[] = [];
	/** Logged by all directories. */
	readonly warnings: RecordingLog = createRecordingLog();

	add(name: string): void {
		this.directories.set(name, createEntryDirectory({
			clock: this.clock,
			table: this.platform.table,
			log: this.warnings.log,
			self: {name, incarnation: name, links: toAddress(name)},
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

	describe('an entry that a peer has reported', () => {
		const reported = {name: 'x', incarnation: 'x', links: '10.0.0.9:7720'};

		it('counts as reported until it is linked, and for two seconds at most', async t => {
			const cluster = await createCluster(['a']);
			const directory = cluster.directories.get('a')!;
			cluster.unlinked.add('x');
			directory.addReported([reported]);
			t.deepEqual(directory.getReported(), [reported]);
			t.is(directory.getLive().length, 1);
			cluster.unlinked.delete('x');
			t.deepEqual(directory.getReported(), []);
			t.is(directory.getLive().length, 2);
			cluster.unlinked.add('x');
			await cluster.advance(3000 + leaseMs);
			t.deepEqual(directory.getReported(), []);
		});

		it('does not count as reported if its row is known, alive or dead', async t => {
			const cluster = await createCluster(['a', 'b']);
			const directory = cluster.directories.get('a')!;
			cluster.unlinked.add('b');
			directory.addReported([{name: 'b', incarnation: 'b', links: toAddress('b')}]);
			t.deepEqual(directory.getReported(), []);
			await cluster.directories.get('b')!.deregister();
			await cluster.advance(leaseMs);
			t.is(directory.getStatus('b'), 'dead');
			t.deepEqual(directory.getReported(), []);
		});
	});

	// Guards against two entries that start together, of which neither knows the other.
	it('is read again as soon as the own row is written', async t => {
		const cluster = new SimulatedCluster();
		cluster.add('a');
		cluster.add('b');
		const [first, second] = [...cluster.directories.values()];
		t.false(first!.hasReadSinceRegistration());
		await cluster.advance(100);
		t.true(first!.hasReadSinceRegistration() && second!.hasReadSinceRegistration());
		t.true(first!.getLive().length === 2 || second!.getLive().length === 2);
	});

	describe('rows of other writers', () => {
		const goodRow = {
			name: 'x', incarnation: 'x', links: '10.0.0.9:7720', dead: false, renewals: 1,
		};

		/** Writes rows under the keys of these entries. */
		async function write(cluster: SimulatedCluster, rows: Readonly<Record<string, unknown>>): Promise<void> {
			for (const [name, row] of Object.entries(rows)) {
				await cluster.platform.table.commit({conditions: [], writes: [{key: `entries/${name}`, value: typeof row === 'string' ? row : JSON.stringify(row)}]});
			}
		}

		// Guards against rows that end every process that reads them: an empty address could not be connected to.
		it('name no address to use, whatever they contain, and the others hold', async t => {
			const cluster = await createCluster(['a', 'b']);
			const addresses = [...'| |x|10.0.0.9|10.0.0.9:0|10.0.0.9:99999|10.0.0.9:-1|10.0.0.9: 80|10.0.0.9:80/|host:80|0.0.0.0:80|[::1%lo]:80|10.0.0.9:080|unix:/x'.split('|'), 'x'.repeat(10_000)];
			await write(cluster, Object.fromEntries(addresses.map((links, i) => [`x${i}`, {...goodRow, incarnation: `x${i}`, links}])));
			await write(cluster, {
				y0: '', y1: '{', y2: 'null', y3: '['.repeat(200_000), y4: {...goodRow, incarnation: 'y4', renewals: 0.5}, y5: {...goodRow, incarnation: 'y5', name: ''}, x: goodRow,
			});
			await cluster.advance(leaseMs);
			t.deepEqual(new Set(cluster.directories.get('a')!.getLive().map(({links}) => links)), new Set([toAddress('a'), toAddress('b'), goodRow.links]));
			const read = createEntryAddressReader({table: cluster.platform.table, log: silentLog});
			t.deepEqual(new Set(await read()), new Set([toAddress('a'), toAddress('b'), goodRow.links]));
		});

		// Guards against a row under any key that declares an entry dead, or moves it.
		it('are about no other entry than that of their key', async t => {
			const cluster = await createCluster(['a', 'b']);
			await write(cluster, {x: {...goodRow, incarnation: 'b', dead: true}});
			// The entry's next renewal hides such a row, so this looks in between.
			for (let i = 0; i < 20; i++) {
				await cluster.advance(100);
				t.is(cluster.directories.get('a')!.getStatus('b'), 'live');
				t.is(cluster.directories.get('a')!.getLive().find(({incarnation}) => incarnation === 'b')?.links, toAddress('b'));
			}
		});

		// Guards against an entry that ends because its own row was replaced by something that declares nothing.
		it('do not end the entry whose row they replace, which writes it again', async t => {
			const cluster = await createCluster(['a', 'b']);
			await write(cluster, {b: '{'});
			await cluster.advance(3 * leaseMs);
			t.deepEqual(cluster.declaredDead, []);
			t.is(await cluster.directories.get('b')!.confirmLease(), 'held');
			t.is(cluster.directories.get('a')!.getStatus('b'), 'live');
		});

		it('do not keep an entry that has died from being declared dead', async t => {
			const cluster = await createCluster(['a', 'b']);
			cluster.kill('b');
			await write(cluster, {b: '{'});
			await cluster.advance(3.5 * leaseMs);
			t.is(cluster.directories.get('a')!.getStatus('b'), 'dead');
		});

		it('are logged once for each of their revisions, with the reason', async t => {
			const cluster = await createCluster(['a']);
			await write(cluster, {x: {...goodRow, links: ''}});
			await cluster.advance(3 * leaseMs);
			await write(cluster, {x: {...goodRow, links: ' '}});
			await cluster.advance(3 * leaseMs);
			t.is(cluster.warnings.lines.length, 2);
			t.like(cluster.warnings.lines[0], {row: 'entries/x', reason: 'links is invalid'});
		});
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
