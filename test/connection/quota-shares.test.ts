import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createQuotaShares, shareReportIntervalMs, type QuotaShares} from '../../src/connection/quota-shares.js';
import {createRandom, type Random} from '../../dev/random.js';
import {describe, it} from '../describe.js';

const limit = 200;
const messageDelayMs = 3;
const runMs = 500;

/** Entries that exchange messages with a delay, and callers that keep offering tasks. */
class SimulatedEntries {
	readonly clock: FakeClock = createFakeClock();
	readonly entries = new Map<string, QuotaShares>();
	readonly used = new Map<string, number>();
	readonly maxUsed = new Map<string, number>();
	readonly accepted = new Map<string, number>();
	readonly refused = new Map<string, number>();
	messages = 0;

	add(name: string): void {
		const shares = createQuotaShares({
			clock: this.clock,
			self: name,
			getLiveEntries: () => [...this.entries.keys()],
			getLimit: () => limit,
			send: (entry, message) => {
				this.messages++;
				this.clock.after(messageDelayMs, () => this.entries.get(entry)?.receive(name, message));
			},
		});
		this.entries.set(name, shares);
		const tick = () => {
			if (this.entries.get(name) === shares) {
				shares.tick();
				this.clock.after(shareReportIntervalMs, tick);
			}
		};

		tick();
	}

	/** Offers tasks of a team at an entry; accepted ones run for {@link runMs}. */
	offer(name: string, team: string, tasks: number): void {
		const shares = this.entries.get(name)!;
		for (let i = 0; i < tasks; i++) {
			shares.acquire(team, 1, isAcquired => {
				add(isAcquired ? this.accepted : this.refused, team, 1);
				if (isAcquired) {
					this.start(shares, team);
				}
			});
		}
	}

	private start(shares: QuotaShares, team: string): void {
		add(this.used, team, 1);
		this.maxUsed.set(team, Math.max(this.maxUsed.get(team) ?? 0, this.used.get(team)!));
		this.clock.after(runMs, () => {
			shares.release(team, 1);
			add(this.used, team, -1);
		});
	}
}

function add(counts: Map<string, number>, key: string, value: number): void {
	counts.set(key, (counts.get(key) ?? 0) + value);
}

/** Creates entries that have exchanged their first reports. */
function createStartedCluster(entries: number): SimulatedEntries {
	const cluster = createCluster(entries);
	cluster.clock.advance(10 * shareReportIntervalMs);
	return cluster;
}

function createCluster(entries: number): SimulatedEntries {
	const cluster = new SimulatedEntries();
	for (let i = 0; i < entries; i++) {
		cluster.add(`entry-${i}`);
	}

	return cluster;
}

/** Calls `offer` every 50 ms, `steps` times. */
function run(cluster: SimulatedEntries, steps: number, offer: (random: Random) => void): void {
	const random = createRandom(5);
	for (let i = 0; i < steps; i++) {
		offer(random);
		cluster.clock.advance(50);
	}
}

describe('quota shares', () => {
	it('use the whole quota when one entry gets all the load', t => {
		const cluster = createStartedCluster(4);
		run(cluster, 200, () => {
			cluster.offer('entry-1', 'lunch', 40);
		});
		cluster.accepted.clear();
		run(cluster, 200, () => {
			cluster.offer('entry-1', 'lunch', 40);
		});
		// A quota of 200 tasks of 500 ms each allows 400 tasks a second; the measured run takes 10 s.
		t.true(cluster.accepted.get('lunch')! > 0.95 * 4000, String(cluster.accepted.get('lunch')));
		t.true(cluster.maxUsed.get('lunch')! <= limit);
	});

	it('exceed the quota by at most 5 % when the load moves between entries and entries join and disappear', t => {
		const cluster = createStartedCluster(4);
		let step = 0;
		run(cluster, 1200, random => {
			step++;
			if (step % 300 === 100) {
				cluster.entries.delete(`entry-${step / 100 % 4}`);
			}

			if (step % 300 === 200) {
				cluster.add(`later-${step}`);
			}

			const names = [...cluster.entries.keys()];
			const favourite = names[Math.floor(step / 100) % names.length]!;
			cluster.offer(random() < 0.9 ? favourite : names[Math.floor(random() * names.length)]!, 'lunch', 40);
		});
		t.true(cluster.maxUsed.get('lunch')! <= 1.05 * limit, String(cluster.maxUsed.get('lunch')));
	});

	it('keep a team that offers 50 times its quota from taking quota from 999 others', t => {
		const cluster = createStartedCluster(4);
		run(cluster, 200, random => {
			for (let team = 0; team < 999; team++) {
				if (random() < 0.1) {
					cluster.offer(`entry-${Math.floor(random() * 4)}`, `team-${team}`, 20);
				}
			}

			for (let i = 0; i < 4; i++) {
				cluster.offer(`entry-${i}`, 'greedy', 250);
			}
		});
		let offered = 0;
		let refused = 0;
		for (let team = 0; team < 999; team++) {
			offered += cluster.accepted.get(`team-${team}`)! + (cluster.refused.get(`team-${team}`) ?? 0);
			refused += cluster.refused.get(`team-${team}`) ?? 0;
		}

		t.true(refused < 0.05 * offered, `${refused} of ${offered}`);
		t.true(cluster.maxUsed.get('greedy')! <= 1.05 * limit, String(cluster.maxUsed.get('greedy')));
		t.log(`others refused ${refused} of ${offered}; greedy at most ${cluster.maxUsed.get('greedy')} of ${limit}; ${cluster.messages} messages in 11 s`);
	});

	it('grant a job of an idle team more than an even share and refuse jobs beyond the rest of the quota', t => {
		const cluster = createStartedCluster(4);
		const outcomes: boolean[] = [];
		const shares = cluster.entries.get('entry-3')!;
		shares.acquire('lunch', 180, isAcquired => outcomes.push(isAcquired));
		shares.acquire('lunch', 180, isAcquired => outcomes.push(isAcquired));
		shares.acquire('lunch', limit + 1, isAcquired => outcomes.push(isAcquired));
		t.deepEqual(outcomes, [false]);
		cluster.clock.advance(2000);
		t.deepEqual(outcomes, [false, true, false]);
		shares.acquire('lunch', 100, isAcquired => outcomes.push(isAcquired));
		t.deepEqual(outcomes, [false, true, false, false]);
	});

	it('let tasks wait, not fail, until the entries have exchanged their first reports', t => {
		const cluster = createCluster(4);
		cluster.offer('entry-2', 'lunch', 20);
		t.is(cluster.accepted.get('lunch'), undefined);
		cluster.clock.advance(10 * shareReportIntervalMs);
		t.is(cluster.accepted.get('lunch'), 20);
		t.is(cluster.refused.get('lunch'), undefined);
	});

	it('accept the first tasks of an idle team at once', t => {
		const cluster = createStartedCluster(4);
		cluster.offer('entry-2', 'lunch', 20);
		t.is(cluster.accepted.get('lunch'), 20);
	});
});
