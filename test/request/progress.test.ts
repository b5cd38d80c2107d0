import {isStalled} from '../../src/request/progress.js';
import {describe, it} from '../describe.js';

describe('progress of a run', () => {
	it('is checked only after a part of the declared run time', t => {
		t.false(isStalled({elapsed: 30, percent: 0, expected: 60}));
		t.false(isStalled({elapsed: 300, percent: 0, expected: 900}));
		t.true(isStalled({elapsed: 400, percent: 0, expected: 900}));
	});

	it('may take three times as long as declared, as healthy runs do', t => {
		t.false(isStalled({elapsed: 100, percent: 17, expected: 200}));
		t.true(isStalled({elapsed: 100, percent: 10, expected: 200}));
	});

	it('is not stalled shortly before its end', t => {
		t.false(isStalled({elapsed: 900, percent: 80, expected: 200}));
	});

	it('is never checked without a declared run time', t => {
		t.false(isStalled({elapsed: 10_000, percent: 0, expected: 0}));
	});
});
