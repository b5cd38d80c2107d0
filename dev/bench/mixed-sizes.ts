/**
 * A site whose tasks differ much in size: small ones fill the gaps on the upstreams, large ones need half an upstream or
 * more, wide jobs need many upstreams at a time. Compares the placement without look-ahead, with it, and with one
 * entry that sees all upstreams without delay and knows the run times.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {formatRow} from './report.js';
import {replaySite} from './site-replay.js';
import type {
	JobGroupResult, LinkPlan, Site, SiteScenario,
} from './site-types.js';
import {getNominalLoad} from './sites.js';

/** The site. */
export const mixedSizes: Site = {
	name: 'mixed-sizes',
	entries: 4,
	agents: 12,
	cpu: 16_000,
	latency: 0.9,
	kinds: [
		{
			name: 'small', perSecond: 150, meanTasks: 3, maxTasks: 8, meanRun: 120, maxRun: 400, cpu: 1000, utility: 0.01,
		},
		{
			name: 'wide', perSecond: 3, meanTasks: 24, maxTasks: 40, meanRun: 200, maxRun: 600, cpu: 2000, utility: 0.1,
		},
		{
			name: 'large', perSecond: 10, meanTasks: 2, maxTasks: 4, meanRun: 250, maxRun: 700, cpu: 9000, utility: 0.05,
		},
	],
};

/** The placements that are compared. */
export const variants = {
	'without look-ahead': {lookAhead: false},
	'with look-ahead': {lookAhead: true},
	'all-knowing': {lookAhead: true, isAllKnowing: true},
} as const;

/** Creates the loads, without the placement. */
export function createMixedSizesScenarios(seed: number, duration: Milliseconds, links: LinkPlan): readonly SiteScenario[] {
	const base = {
		site: mixedSizes, seed, duration, links, disturbances: [],
	};
	const getRateFactor = (load: number) => load / getNominalLoad(mixedSizes);
	return [
		...[0.5, 0.7, 0.85, 1, 1.2].map(load => ({...base, name: `load ${load}`, rateFactor: getRateFactor(load)})),
		{
			...base,
			name: 'load 0.6, bursts of 1.8',
			rateFactor: getRateFactor(0.6),
			disturbances: [0.2, 0.5, 0.8].map(start => ({
				kind: 'burst', factor: 1.8, from: duration * start, to: (duration * start) + 1500,
			})),
		},
	];
}

/** Replays all loads with each placement and returns a table. */
export function reportMixedSizes(scenarios: readonly SiteScenario[]): string {
	const rows = scenarios.flatMap(scenario => Object.entries(variants).map(([name, variant]) => {
		const result = replaySite({...scenario, ...variant});
		return formatRow([
			scenario.name, name, formatShare(result.all), ...mixedSizes.kinds.map(kind => formatGroup(result.byKind.get(kind.name))), (result.refusedStarts / result.starts).toFixed(3),
		]);
	}));
	const columns = ['load', 'placement', 'worth', ...mixedSizes.kinds.map(({name}) => `${name}: worth, p50, p99 ms`), 'starts refused'];
	return [formatRow(columns), formatRow(columns.map(() => '---')), ...rows, ''].join('\n');
}

function formatGroup(group: JobGroupResult | undefined): string {
	return group === undefined ? '' : `${formatShare(group)}, ${group.response.p50.toFixed(0)}, ${group.response.p99.toFixed(0)}`;
}

function formatShare({utility}: JobGroupResult): string {
	return utility.toFixed(3);
}
