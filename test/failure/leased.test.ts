import {platformTiming} from '../../src/platform/timing.js';
import type {Executor} from '../../src/process/executor-types.js';
import {describe, it} from '../describe.js';
import {runLeasedFailures} from './leased/run.js';
import type {InjectedDefects} from './leased/cluster.js';

const seeds = 12;
/**
 * 165: a link closed at once at the entry and stayed silent at its agent, which stopped its runs 43 ms after the entry had
 * started their tasks elsewhere.
 */
const failedOnce = [165];
/** A planted fault shows within so many seeds. */
const plantedSeeds = 40;

/** Faults that a change of the product could bring in, and the promise that each breaks. */
const planted: Readonly<Record<string, {readonly plants: InjectedDefects; readonly breaks: string}>> = {
	'agents let the runs of a lost entry go on': {
		plants: {timing: {...platformTiming, orphanGraceMs: undefined}}, breaks: 'no task runs twice at the same time',
	},
	'tasks of a lost agent start elsewhere at once': {
		plants: {timing: {...platformTiming, closedGraceMs: 20, silentGraceMs: 20}}, breaks: 'no task runs twice at the same time',
	},
	'leases outlast the time after which tasks start elsewhere': {
		plants: {changeExecutor: executor => changeLease(executor, 2000)}, breaks: 'no task runs twice at the same time',
	},
	'late orders are not fenced': {
		plants: {changeExecutor: executor => changeToken(executor)}, breaks: 'no task runs twice at the same time',
	},
	'agents do not hear that their executor leaves': {
		plants: {isLeavingIgnored: true}, breaks: 'a leaving executor gets no new work',
	},
	'agents count half of what runs': {
		plants: {announcedCpu: 8000}, breaks: 'no executor is overloaded',
	},
};

describe('random failure runs under leases', () => {
	it('break no promise without faults', async t => {
		const {violations} = await runLeasedFailures(1, true);
		t.deepEqual(violations, []);
	});

	it(`break no promise, seeds 1 to ${seeds}`, async t => {
		for (let seed = 1; seed <= seeds; seed++) {
			const {violations, faults} = await runLeasedFailures(seed);
			t.deepEqual(violations, [], `seed ${seed}; its faults:\n${faults.join('\n')}`);
		}
	});

	for (const seed of failedOnce) {
		it(`break no promise, seed ${seed}, which did once`, async t => {
			const {violations} = await runLeasedFailures(seed);
			t.deepEqual(violations, []);
		});
	}

	describe('notice when', () => {
		for (const [name, {plants, breaks}] of Object.entries(planted)) {
			it(name, async t => {
				let isNoticed = false;
				for (let seed = 1; seed <= plantedSeeds && !isNoticed; seed++) {
					const {violations} = await runLeasedFailures(seed, false, plants);
					isNoticed = violations.some(({rule}) => rule === breaks);
				}

				t.true(isNoticed);
			});
		}
	});
});

function changeLease(executor: Executor, more: number): Executor {
	return {
		...executor,
		start: async order => executor.start({...order, leaseExpiresAt: order.leaseExpiresAt + more}),
		poll: async req => executor.poll({...req, leaseExpiresAt: req.leaseExpiresAt === undefined ? undefined : req.leaseExpiresAt + more}),
	};
}

function changeToken(executor: Executor): Executor {
	const fencingToken = Number.MAX_SAFE_INTEGER;
	return {
		...executor,
		start: async order => executor.start({...order, fencingToken}),
		stop: async run => executor.stop(run, fencingToken),
		poll: async req => executor.poll({...req, fencingToken}),
	};
}
