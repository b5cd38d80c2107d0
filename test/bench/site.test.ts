import {replaySite} from '../../dev/bench/site-replay.js';
import type {SiteResult, SiteDisturbance} from '../../dev/bench/site-types.js';
import {getNominalLoad, sites} from '../../dev/bench/sites.js';
import {platformTiming} from '../../src/platform/timing.js';
import {describe, it} from '../describe.js';

/** Utility goals of the users for days with disturbances. */
const utilityGoals = {baonhan: 0.8, canopy: 0.72} as const;
const durationMs = 12_000;

describe('replayed sites', () => {
	for (const [name, goal] of Object.entries(utilityGoals)) {
		describe(name, () => {
			it('answers almost all jobs in time at the usual load', t => {
				t.true(replay(name, 1).all.utility >= 0.99);
			});

			it('reaches the utility goal while a third of the upstreams is unavailable and 1.5 times as many jobs arrive', t => {
				const result = replay(name, 1, {
					kind: 'burst', factor: 1.5, from: 4000, to: 8000,
				}, {
					kind: 'upstreams-away', count: 4, from: 4000, to: 7000,
				});
				t.true(result.all.utility >= goal);
			});

			it('reaches 0.85 of the possible utility at 1.3 times the capacity, and starves no kind of request', t => {
				const result = replay(name, 1.3 / getNominalLoad(sites[name]!));
				t.true(result.all.utility >= (1 / 1.3) * 0.85);
				for (const {utility} of result.byKind.values()) {
					t.true(utility >= result.all.utility / 2);
				}
			});

			it('refuses early the jobs that it cannot answer in time', t => {
				t.true(replay(name, 1.3 / getNominalLoad(sites[name]!)).heldUtility <= 0.02);
			});
		});
	}

	describe('with a third of the upstreams slow by nature', () => {
		it('answers almost all jobs in time in bursts, also where slow upstreams take 2.4 times as long', t => {
			const bursts: SiteDisturbance = {
				kind: 'burst', factor: 1.3, from: 4000, to: 8000,
			};
			t.true(replay('lochan-grown', 1, bursts).all.utility >= 0.99);
			const {all, byKind} = replay('omaruru-grown', 1, bursts);
			t.true(all.utility >= 0.95);
			t.true(byKind.get('confirm')!.utility >= 0.88);
		});
	});
});

function replay(name: string, rateFactor: number, ...disturbances: readonly SiteDisturbance[]): SiteResult {
	return replaySite({
		name, site: sites[name]!, seed: 1, duration: durationMs, rateFactor, disturbances, links: {heartbeatMs: platformTiming.heartbeatMs, idleHeartbeatMs: platformTiming.idleHeartbeatMs!},
	});
}
