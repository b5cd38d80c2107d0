import {replaySite} from '../../dev/bench/site-replay.js';
import type {SiteResult, SiteDisturbance} from '../../dev/bench/site-types.js';
import {getNominalLoad, sites} from '../../dev/bench/sites.js';
import {describe, it} from '../describe.js';

/** Goals of the users for days with trouble. */
const worthGoal = {baonhan: 0.8, canopy: 0.72} as const;
const length = 12_000;

describe('replayed sites', () => {
	for (const [name, goal] of Object.entries(worthGoal)) {
		describe(name, () => {
			it('serves all in time at the usual load', t => {
				t.true(replay(name, 1).all.utility >= 0.99);
			});

			it('is worth the goal while a third of the upstreams is away and half as many jobs again arrive', t => {
				const figures = replay(name, 1, {
					kind: 'burst', factor: 1.5, from: 4000, to: 8000,
				}, {
					kind: 'upstreams-away', count: 4, from: 4000, to: 7000,
				});
				t.true(figures.all.utility >= goal);
			});

			it('serves at 1.3 times the room 0.85 of what the room allows, and starves no kind of request', t => {
				const figures = replay(name, 1.3 / getNominalLoad(sites[name]!));
				t.true(figures.all.utility >= (1 / 1.3) * 0.85);
				for (const {utility: worth} of figures.byKind.values()) {
					t.true(worth >= figures.all.utility / 2);
				}
			});

			it('refuses early what it cannot serve', t => {
				t.true(replay(name, 1.3 / getNominalLoad(sites[name]!)).heldUtility <= 0.02);
			});
		});
	}
});

function replay(name: string, rate: number, ...troubles: readonly SiteDisturbance[]): SiteResult {
	return replaySite({
		name, site: sites[name]!, seed: 1, duration: length, rateFactor: rate, disturbances: troubles,
	});
}
