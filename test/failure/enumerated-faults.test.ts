/**
 * A part of the combinations of three faults along the chain of a forwarded job; `npm run failures -- --enumerated all` plays them all.
 */
import {platformTiming} from '../../src/platform/timing.js';
import {describe, it} from '../describe.js';
import {
	disturbances, enumerateCombinations, formatCombination, getDisturbance, parseCombination, playCombination, type Combination,
} from './leased/enumerated-faults.js';

const seed = 1;
/** Combinations that are played for each disturbance. */
const playedCombinations = 70;

/** Combinations that failed once, in clusters of seed 1. Issue 49, unless something else is said. */
const failedOnce: Readonly<Record<string, readonly string[]>> = {
	'a stop without an answer': [
		'kill-e1,e3,150,lose-stops@-250,silence-e2-agent@250',
		'silence+reset,e1,0,lose-stops@-250,kill-e2@600',
		'silence+reset,e3,208,silence-agent-e2@110,lose-stops@690',
	],
	'a late event loop of the server': [
		'silence+reset,e3,42,stall-e2-450@-100,kill-e2@700',
		'silence+reset,e3,60,stall-e2-450@-200,silence-e2-agent@950',
	],
	'a late event loop of the agent': [
		'kill-e1,e3,20,cut-e2-agent:none@600,stall-agent-450@950',
		'cut+reset,e1,207,silence-agent-e2@110,stall-agent-450@950',
	],
};

describe('combinations of faults along a forwarded job', () => {
	for (const disturbance of disturbances) {
		it(`lead to no two runs of a task at the same time if there are losses and ${disturbance}`, async t => {
			const all = enumerateCombinations().filter(combination => getDisturbance(combination) === disturbance);
			const step = Math.ceil(all.length / playedCombinations);
			t.deepEqual(await findOverlaps(all.filter((_combination, index) => index % step === 0)), []);
		});
	}

	for (const [cause, combinations] of Object.entries(failedOnce)) {
		it(`lead to no two runs of a task at the same time where they failed once by ${cause}`, async t => {
			t.deepEqual(await findOverlaps(combinations.map(text => parseCombination(text))), []);
		});
	}

	it('lead to two runs of a task at the same time if agents do not count the silence of senders, which the check sees', async t => {
		const {overlaps} = await playCombination(seed, parseCombination('kill-e1,e3,100,kill-e2@600'), {timing: {...platformTiming, senderSilence: undefined}});
		t.true(overlaps.length > 0);
	});

	it('are read as they are printed', t => {
		const combinations = enumerateCombinations();
		t.deepEqual(combinations.map(combination => parseCombination(formatCombination(combination))), combinations);
	});
});

async function findOverlaps(combinations: readonly Combination[]): Promise<readonly string[]> {
	const found: string[] = [];
	for (const combination of combinations) {
		const {overlaps} = await playCombination(seed, combination);
		found.push(...overlaps.map(overlap => `${formatCombination(combination)}: ${overlap}`));
	}

	return found;
}
