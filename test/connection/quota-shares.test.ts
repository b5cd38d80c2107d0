import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createQuotaShares, shareReportIntervalMs, type QuotaShares} from '../../src/connection/quota-shares.js';
import {createRandom, type Random} from '../../dev/random.js';
import {describe, it} from '../describe.js';

const limit = 200;
const delayMs = 3;
const runMs = 500;

/** Entries that exchange news with a delay, and callers that keep offering tasks. */
class World {
	readonly clock: FakeClock = createFakeClock();
	readonly entries = new Map<string, QuotaShares>();
	readonly used = new Map<string, number>();
	readonly greatest = new Map<string, number>();
	readonly taken = new Map<string, number>();
	readonly refused = new Map<string, number>();
	messages = 0;

	add(name: string): void {
		const shares = createQuotaShares({
			clock: this.clock,
			self: name,
			getLiveEntries: () => [...this.entries.keys()],
			getLimit: () => limit,
			send: (entry, news) => {
				this.messages++;
				this.clock.after(delayMs, () => this.entries.get(entry)?.receive(name, news));
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

	/** Offers tasks of a team at an entry; taken ones run for {@link runMs}. */
	offer(name: string, team: string, tasks: number): void {
		const shares = this.entries.get(name)!;
		for (let i = 0; i < tasks; i++) {
			shares.acquire(team, 1, isTaken => {
				add(isTaken ? this.taken : this.refused, team, 1);
				if (isTaken) {
					this.start(shares, team);
				}
			});
		}
	}

	private start(shares: QuotaShares, team: string): void {
		add(this.used, team, 1);
		this.greatest.set(team, Math.max(this.greatest.get(team) ?? 0, this.used.get(team)!));
		this.clock.after(runMs, () => {
			shares.release(team, 1);
			add(this.used, team, -1);
		});
	}
}

function add(counts: Map<string, number>, key: string, value: number): void {
	counts.set(key, (counts.get(key) ?? 0) + value);
}

/** A system whose entries have exchanged their first news. */
function createSettledWorld(entries: number): World {
	const world = createWorld(entries);
	world.clock.advance(10 * shareReportIntervalMs);
	return world;
}

function createWorld(entries: number): World {
	const world = new World();
	for (let i = 0; i < entries; i++) {
		world.add(`entry-${i}`);
	}

	return world;
}

/** Offers `perStep` tasks of a team each 50 ms, at entries drawn by `choose`. */
function run(world: World, steps: number, offer: (random: Random) => void): void {
	const random = createRandom(5);
	for (let i = 0; i < steps; i++) {
		offer(random);
		world.clock.advance(50);
	}
}

describe('quota shares', () => {
	it('use the whole quota when one entry gets all the load', t => {
		const world = createSettledWorld(4);
		run(world, 200, () => {
			world.offer('entry-1', 'lunch', 40);
		});
		world.taken.clear();
		run(world, 200, () => {
			world.offer('entry-1', 'lunch', 40);
		});
		// 200 tasks of 500 ms each give 400 a second; the run takes 10 s.
		t.true(world.taken.get('lunch')! > 0.95 * 4000, String(world.taken.get('lunch')));
		t.true(world.greatest.get('lunch')! <= limit);
	});

	it('hold the quota when the load moves between entries and entries join, leave and die', t => {
		const world = createSettledWorld(4);
		let step = 0;
		run(world, 1200, random => {
			step++;
			if (step % 300 === 100) {
				world.entries.delete(`entry-${step / 100 % 4}`);
			}

			if (step % 300 === 200) {
				world.add(`later-${step}`);
			}

			const names = [...world.entries.keys()];
			const favourite = names[Math.floor(step / 100) % names.length]!;
			world.offer(random() < 0.9 ? favourite : names[Math.floor(random() * names.length)]!, 'lunch', 40);
		});
		t.true(world.greatest.get('lunch')! <= 1.05 * limit, String(world.greatest.get('lunch')));
	});

	it('keep a team at 50 times its quota from costing 999 others anything', t => {
		const world = createSettledWorld(4);
		run(world, 200, random => {
			for (let team = 0; team < 999; team++) {
				if (random() < 0.1) {
					world.offer(`entry-${Math.floor(random() * 4)}`, `team-${team}`, 20);
				}
			}

			for (let i = 0; i < 4; i++) {
				world.offer(`entry-${i}`, 'greedy', 250);
			}
		});
		let offered = 0;
		let refused = 0;
		for (let team = 0; team < 999; team++) {
			offered += world.taken.get(`team-${team}`)! + (world.refused.get(`team-${team}`) ?? 0);
			refused += world.refused.get(`team-${team}`) ?? 0;
		}

		t.true(refused < 0.05 * offered, `${refused} of ${offered}`);
		t.true(world.greatest.get('greedy')! <= 1.05 * limit, String(world.greatest.get('greedy')));
		t.log(`others refused ${refused} of ${offered}; greedy at most ${world.greatest.get('greedy')} of ${limit}; ${world.messages} messages in 11 s`);
	});

	it('give an idle team more than its split to a job that needs it, and the rest of the quota its refusal', t => {
		const world = createSettledWorld(4);
		const ends: boolean[] = [];
		const shares = world.entries.get('entry-3')!;
		shares.acquire('lunch', 180, isTaken => ends.push(isTaken));
		shares.acquire('lunch', 180, isTaken => ends.push(isTaken));
		shares.acquire('lunch', limit + 1, isTaken => ends.push(isTaken));
		t.deepEqual(ends, [false]);
		world.clock.advance(2000);
		t.deepEqual(ends, [false, true, false]);
		shares.acquire('lunch', 100, isTaken => ends.push(isTaken));
		t.deepEqual(ends, [false, true, false, false]);
	});

	it('let tasks wait, not fail, until the entries have exchanged their first news', t => {
		const world = createWorld(4);
		world.offer('entry-2', 'lunch', 20);
		t.is(world.taken.get('lunch'), undefined);
		world.clock.advance(10 * shareReportIntervalMs);
		t.is(world.taken.get('lunch'), 20);
		t.is(world.refused.get('lunch'), undefined);
	});

	it('allow the first tasks of an idle team at once', t => {
		const world = createSettledWorld(4);
		world.offer('entry-2', 'lunch', 20);
		t.is(world.taken.get('lunch'), 20);
	});
});
