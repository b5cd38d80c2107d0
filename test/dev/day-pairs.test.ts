import {countPair, findMissingPairs} from '../../dev/day-pairs.js';
import {describe, it} from '../describe.js';

describe('pairs of kinds of trouble', () => {
	const days = [new Set(['burst', 'release']), new Set(['burst', 'hup']), new Set(['release'])];

	it('list the kinds that no day has together', t => {
		t.deepEqual(findMissingPairs(days, ['release', 'burst', 'hup', 'release']), [
			{kind: 'burst', days: 2, neverWith: []},
			{kind: 'hup', days: 1, neverWith: ['release']},
			{kind: 'release', days: 2, neverWith: ['hup']},
		]);
	});

	it('list a kind that was never drawn with all others', t => {
		t.deepEqual(findMissingPairs([], ['hup', 'burst']).map(({kind, days: count, neverWith}) => [kind, count, neverWith]), [
			['burst', 0, ['hup']],
			['hup', 0, ['burst']],
		]);
	});

	it('count the days with both', t => {
		t.is(countPair(days, 'burst', 'release'), 1);
		t.is(countPair(days, 'hup', 'release'), 0);
	});
});
