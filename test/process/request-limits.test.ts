import {getConnectionLimit, getRequestMemoryLimit} from '../../src/process/request-limits.js';
import {describe, it} from '../describe.js';

describe('default limits on clients', () => {
	// Guards against entries that hold 16 connections each: on the platform, the operating system allows a process few descriptors.
	it('follow from what the platform states for a process, whatever the operating system allows', t => {
		t.is(getConnectionLimit(4100), 2925);
		t.is(getConnectionLimit(1_000_000), 749_850);
		t.is(getRequestMemoryLimit(350 * 1_048_576, 262_144), 45_875_200);
	});

	it('follow from the process where nothing is stated, and leave room for two of the largest bodies', t => {
		t.true(getConnectionLimit(undefined) >= 16);
		t.true(getRequestMemoryLimit(undefined, 1000) > 2000);
		t.is(getRequestMemoryLimit(undefined, 1e12), 2e12);
	});
});
