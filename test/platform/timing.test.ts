import {platformTiming} from '../../src/platform/timing.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {leaseMs, maxClockRateError} from '../../src/process/executor-lease.js';
import {describe, it} from '../describe.js';

/** Bounds of the platform: the time after which a client sends its job again, and that within which a run ends once it must. */
const clientRetryMs: Milliseconds = 1300;
const runEndMs: Milliseconds = 50;
/** Time without an answer after which a call to an executor is repeated. */
const callTimeoutMs: Milliseconds = 150;
/** Bound on the error of an estimate of another process's clock, whose rate may differ until it is shown again. */
const clockErrorMs: Milliseconds = 40;
const {
	heartbeatMs, idleHeartbeatMs = 0, silence, orphanGraceMs = 0, maxSilentRunMs = 0, maxSenderSilenceMs = 0, closedGraceMs = 0, silentGraceMs = 0,
	startValidityMs = 0, harmlessPauseMs = 0, maxUnverifiedAgeMs = Infinity,
} = platformTiming;
const activeSilenceMs = silence!.activeMs;
/** Longest time from the end of the renewals until the runs have ended. */
const lapseMs = (leaseMs * maxClockRateError) + runEndMs + clockErrorMs;
/** Longest lease that an executor grants, as the platform documents. */
const longestLeaseMs: Milliseconds = 1000;
/** Longest time from a start that has reached the next incarnation of an executor unnoticed until its run has ended with the lease. */
const longestLapseMs = (longestLeaseMs * (1 + maxClockRateError)) + runEndMs + clockErrorMs;

// Issue 49: the table of worst cases stood in a comment, and no test added its terms up.
describe('the timing of the platform', () => {
	describe('ends a run before its client sends the job again', () => {
		it('if any hop between the client and the agent is lost, and stops have no answer', t => {
			t.true(maxSilentRunMs + lapseMs <= clientRetryMs);
		});

		it('if the client hangs up, its entry reads that late by a harmless pause, and the stop has no answer', t => {
			t.true(harmlessPauseMs + leaseMs + lapseMs <= clientRetryMs);
		});
	});

	describe('ends a run before its entry starts the task elsewhere', () => {
		it('if the link is silent, which the agent hears until the entry closes it', t => {
			t.true(maxSilentRunMs + lapseMs <= silentGraceMs);
		});

		it('if the link is closed at the entry and silent at the agent', t => {
			t.true(maxSilentRunMs + lapseMs <= closedGraceMs);
			t.true(activeSilenceMs + orphanGraceMs + leaseMs + lapseMs <= closedGraceMs);
		});
	});

	// Review 6: the next incarnation of an executor cuts a lease that was meant for the one before to the longest that it grants.
	describe('ends a run that an executor has begun after a restart that nobody has noticed', () => {
		it('before its entry starts the task elsewhere, if its agent is killed with the start', t => {
			t.true(longestLapseMs <= closedGraceMs);
		});

		it('before its entry starts the task elsewhere, if its agent is suspended with the start, which the entry has sent last', t => {
			t.true(maxUnverifiedAgeMs + longestLapseMs <= silentGraceMs);
		});

		it('before its client sends the job again, if its entry or that of its client is lost, and its agent with the start', t => {
			t.true(maxUnverifiedAgeMs + longestLapseMs <= clientRetryMs);
		});

		it('without asking first for a start whose entries send as they do while all is well', t => {
			t.true(maxUnverifiedAgeMs > heartbeatMs / 2);
		});
	});

	describe('asks for a stop before the lease ends', () => {
		it('early enough for one that has no answer to be repeated', t => {
			t.true(maxSenderSilenceMs + callTimeoutMs <= maxSilentRunMs);
			t.true(activeSilenceMs + orphanGraceMs + callTimeoutMs <= maxSilentRunMs);
		});

		it('and not before the serving entry can have decided itself and said so', t => {
			t.true(activeSilenceMs + heartbeatMs < maxSenderSilenceMs);
		});
	});

	it('leaves a process that stood still for no longer than is harmless its runs', t => {
		t.true(heartbeatMs + harmlessPauseMs + clockErrorMs <= maxSenderSilenceMs);
		t.true(startValidityMs + harmlessPauseMs <= maxSilentRunMs);
		t.true(idleHeartbeatMs * maxClockRateError <= clockErrorMs);
	});
});
