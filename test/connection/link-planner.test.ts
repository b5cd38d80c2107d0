import {planLinks, type LinkStatus} from '../../src/connection/link-planner.js';
import {rankByRendezvousHash} from '../../src/connection/rendezvous.js';
import {describe, it} from '../describe.js';

const now = 100_000;
const open: LinkStatus = {
	isOpen: true, changedAt: 0, retiredAt: undefined, hasRuns: false,
};
const connecting: LinkStatus = {...open, isOpen: false, changedAt: now - 100};
const unreachable: LinkStatus = {...open, isOpen: false, changedAt: now - 10_000};
const nothing = {
	open: [], retire: [], restore: [], close: [],
};

describe('link planner', () => {
	it('opens links to the preferred entries only', t => {
		t.deepEqual(planLinks(['a', 'b', 'c'], new Map(), 2, now), {...nothing, open: ['a', 'b']});
	});

	it('leaves links alone that are open or being opened', t => {
		t.deepEqual(planLinks(['a', 'b', 'c'], new Map([['a', open], ['b', connecting]]), 2, now), nothing);
	});

	it('replaces an entry that cannot be reached, and goes on trying it', t => {
		t.deepEqual(planLinks(['a', 'b', 'c'], new Map([['a', open], ['b', unreachable]]), 2, now), {...nothing, open: ['c']});
	});

	it('closes a link that is not open to an entry that is not listed any more', t => {
		t.deepEqual(planLinks(['a'], new Map([['a', open], ['b', unreachable]]), 2, now), {...nothing, close: ['b']});
	});

	describe('a surplus link', () => {
		const withSurplus = (surplus: Partial<LinkStatus>) => new Map([['a', open], ['b', open], ['c', {...open, ...surplus}]]);

		it('is retired before it is closed, and not soon after it was opened', t => {
			t.deepEqual(planLinks(['a', 'b', 'c'], withSurplus({changedAt: now - 1000}), 2, now), nothing);
			t.deepEqual(planLinks(['a', 'b', 'c'], withSurplus({}), 2, now), {...nothing, retire: ['c']});
		});

		it('is closed once starts under way have arrived and no task of its entry runs', t => {
			t.deepEqual(planLinks(['a', 'b', 'c'], withSurplus({retiredAt: now - 500}), 2, now), nothing);
			t.deepEqual(planLinks(['a', 'b', 'c'], withSurplus({retiredAt: now - 1000, hasRuns: true}), 2, now), nothing);
			t.deepEqual(planLinks(['a', 'b', 'c'], withSurplus({retiredAt: now - 1000}), 2, now), {...nothing, close: ['c']});
		});

		it('is restored if it is needed again', t => {
			const links = new Map([['a', open], ['b', unreachable], ['c', {...open, retiredAt: now - 500}]]);
			t.deepEqual(planLinks(['a', 'b', 'c'], links, 2, now), {...nothing, restore: ['c']});
		});
	});

	it('gives each entry a fair share of the agents, and moves few links when an entry joins', t => {
		const entries = Array.from({length: 35}, (_, i) => `10.0.0.${i}:7720`);
		const agents = Array.from({length: 160}, (_, i) => `side-${i}`);
		const counts = new Map<string, number>();
		let moved = 0;
		for (const agent of agents) {
			const before = planLinks(rankByRendezvousHash(agent, entries), new Map(), 12, now).open;
			const after = planLinks(rankByRendezvousHash(agent, [...entries, 'new']), new Map(), 12, now).open;
			moved += before.filter(address => !after.includes(address)).length;
			for (const address of before) {
				counts.set(address, (counts.get(address) ?? 0) + 1);
			}
		}

		const fair = 160 * 12 / 35;
		t.true(Math.min(...counts.values()) > fair * 0.6);
		t.true(Math.max(...counts.values()) < fair * 1.4);
		t.true(moved < 160 * 12 / 36 * 1.5);
	});
});
