import {runSite} from '../../dev/bench/site-run.js';
import type {SiteFigures, SiteTrouble} from '../../dev/bench/site-types.js';
import {getLoad, sites} from '../../dev/bench/sites.js';
import {describe, it} from '../describe.js';

/** Goals of the users for days with trouble. */
const worthGoal = {baonhan: 0.8, canopy: 0.72} as const;
const length = 12_000;

describe('replayed sites', () => {
	for (const [name, goal] of Object.entries(worthGoal)) {
		describe(name, () => {
			it('serves all in time at the usual load', t => {
				t.true(replay(name, 1).all.worth >= 0.99);
			});

			it('is worth the goal while a third of the upstreams is away and half as many jobs again arrive', t => {
				const figures = replay(name, 1, {
					kind: 'burst', factor: 1.5, from: 4000, to: 8000,
				}, {
					kind: 'upstreams-away', count: 4, from: 4000, to: 7000,
				});
				t.true(figures.all.worth >= goal);
			});

			it('serves at 1.3 times the room 0.85 of what the room allows, and starves no kind of request', t => {
				const figures = replay(name, 1.3 / getLoad(sites[name]!));
				t.true(figures.all.worth >= (1 / 1.3) * 0.85);
				for (const {worth} of figures.byKind.values()) {
					t.true(worth >= figures.all.worth / 2);
				}
			});

			it('refuses early what it cannot serve', t => {
				t.true(replay(name, 1.3 / getLoad(sites[name]!)).heldWorth <= 0.02);
			});
		});
	}
});

function replay(name: string, rate: number, ...troubles: readonly SiteTrouble[]): SiteFigures {
	return runSite({
		name, site: sites[name]!, seed: 1, length, rate, troubles,
	});
}
