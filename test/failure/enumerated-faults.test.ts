/**
 * A part of the combinations of three faults along the chain of a forwarded job; `npm run failures -- --enumerated all` plays them all.
 */
import {describe, it} from '../describe.js';
import {
	disturbances, enumerateCombinations, formatCombination, getDisturbance, parseCombination, playCombination, type Combination,
} from './leased/enumerated-faults.js';

const seed = 1;
/** Combinations that are played for each disturbance. */
const playedCombinations = 50;

/** Combinations that failed once, and the seeds of their clusters (issue 49). */
const failedOnce: Readonly<Record<string, ReadonlyArray<readonly [number, string]>>> = {
	'a stop without an answer': [
		[1, 'kill-e1,e3,150,lose-stops@-250,silence-e2-agent@250'],
		[1, 'silence+reset,e1,0,lose-stops@-250,kill-e2@600'],
		[1, 'silence+reset,e3,208,silence-agent-e2@110,lose-stops@690'],
	],
	'stops and polls that are carried out late': [
		[1, 'silence+reset,e1,75,silence-e2-agent@600,late-calls@690'],
	],
	'a late event loop of the server': [
		[1, 'silence+reset,e3,42,stall-e2-450@-100,kill-e2@700'],
		[1, 'silence+reset,e3,60,stall-e2-450@-200,silence-e2-agent@950'],
	],
	'batches that are delayed on the way': [
		[2, 'kill-e1,e3,155,slow-e2-agent@-200,kill-e2@950'],
		[2, 'kill-e1,e3,215,slow-e2-agent@-100,cut-e2-agent:none@700'],
		[2, 'kill-e1,e3,190,silence-agent-e2@0,slow-e2-agent@400'],
	],
	'a lease that its agent cannot let go as it is killed': [
		[2, 'kill-e1,e3,185,cut-e2-agent:e2@220,restart-agent-700@820'],
		[1, 'kill-e1,e3,208,silence-agent-e2@110,restart-agent-700@1090'],
	],
	'a late event loop of the agent': [
		[1, 'kill-e1,e3,20,cut-e2-agent:none@600,stall-agent-450@950'],
		[1, 'cut+reset,e1,207,silence-agent-e2@110,stall-agent-450@950'],
	],
};

describe('combinations of faults along a forwarded job', () => {
	for (const disturbance of disturbances) {
		it(`lead to no two runs of a task at the same time if there are losses and ${disturbance}`, async t => {
			const all = enumerateCombinations().filter(combination => getDisturbance(combination) === disturbance);
			const step = Math.ceil(all.length / playedCombinations);
			const played = all.filter((_combination, index) => index % step === 0);
			t.deepEqual(await findOverlaps(played.map(combination => [seed, combination])), []);
		});
	}

	for (const [cause, combinations] of Object.entries(failedOnce)) {
		it(`lead to no two runs of a task at the same time where they failed once by ${cause}`, async t => {
			t.deepEqual(await findOverlaps(combinations.map(([clusterSeed, text]) => [clusterSeed, parseCombination(text)])), []);
		});
	}

	it('lead to two runs of a task at the same time if the server keeps serving them after the sender was lost, which the check sees', async t => {
		const {overlaps} = await playCombination(seed, parseCombination('kill-e1,e3,0'), {areForwardedJobsKept: true});
		t.true(overlaps.length > 0);
	});

	it('are read as they are printed', t => {
		const combinations = enumerateCombinations();
		t.deepEqual(combinations.map(combination => parseCombination(formatCombination(combination))), combinations);
	});
});

async function findOverlaps(combinations: ReadonlyArray<readonly [number, Combination]>): Promise<readonly string[]> {
	const found: string[] = [];
	for (const [clusterSeed, combination] of combinations) {
		const {overlaps} = await playCombination(clusterSeed, combination);
		found.push(...overlaps.map(overlap => `seed ${clusterSeed}, ${formatCombination(combination)}: ${overlap}`));
	}

	return found;
}
