/**
 * The agent's side of its lease on an executor: the fencing token of its calls, an estimate of the executor's clock, and
 * the time until which the lease may be active there.
 */
import {createClockComparison} from './clock-comparison.js';
import type {Clock, Milliseconds} from './clock.js';
import type {WithExecutorTime} from './executor-types.js';

/** Dependencies of an executor lease. */
export type ExecutorLeaseHost = {
	readonly clock: Clock;
	/** Higher than any fencing token that an earlier agent of this executor may have used. */
	readonly firstFencingToken: number;
	/** Longest lease that the executor grants. */
	readonly maxLeaseMs: Milliseconds;
	/** Returns the time beyond which the lease must not be renewed now; Infinity if there is no such limit. */
	getRenewalLimit(): Milliseconds;
	/** Called when the executor's clock shows that this process was suspended, before the response that shows it is handled. */
	onPauseWitnessed(pause: Milliseconds): void;
	/** Called when the executor's clock has gone back, so that another incarnation has probably responded. */
	onClockSetBack(): void;
};

/** Fencing token and lease for one incarnation of an executor. */
export type ExecutorLease = {
	getFencingToken(): number;
	/**
	 * Raises the fencing token, so that calls with `usedToken` that have not arrived yet will have no effect once a later
	 * call has. Does nothing if the token has been raised since.
	 */
	raiseFencingToken(usedToken: number): void;
	/** Raises the fencing token after a call with `usedToken` was refused because a higher one had been used. */
	catchUpFencingToken(usedToken: number): void;
	/** Raises the fencing token by more than an earlier agent can have raised its own without the executor having seen that. */
	raiseAboveEarlierAgent(): void;
	/** Whether the lease may be renewed now: the executor's clock was reported, and no limit has passed. */
	canRenew(): boolean;
	/**
	 * Returns the expiry of the lease, on the executor's clock, for a call that is sent now and renews it. It counts as renewed,
	 * since the call may take effect even if no response arrives. Undefined if the lease must not be renewed.
	 */
	tryRenew(): Milliseconds | undefined;
	/** Whether the lease has expired even on the slowest clock that the executor may have. */
	hasExpired(): boolean;
	/** Updates the estimate of the executor's clock from the response to a call that is sent now, and returns the response. */
	track<T>(call: Promise<WithExecutorTime<T>>): Promise<WithExecutorTime<T>>;
	/**
	 * Continues with the next incarnation of the executor, whose clock showed `executorTime` in a response that has just arrived. It has
	 * seen no fencing token, and may have granted leases for calls that were meant for the one before.
	 */
	continueWithNext(executorTime: Milliseconds | undefined): void;
	/** Returns the executor's clock minus this process's clock; undefined until the executor's clock was reported. */
	tryGetClockOffset(): Milliseconds | undefined;
};

/** Duration of the lease. Three renewals in a row may fail within it, yet the tasks of a lost agent restart soon. */
export const leaseMs: Milliseconds = 500;
/** Greatest share by which an executor's clock may run slower than this one, as the platform documents. */
export const maxClockRateError = 0.02;
/** Bound on the error of the clock estimate, apart from the clock's rate. */
const clockMarginMs: Milliseconds = 20;
/**
 * Increment when the fencing token is raised. Small, because the first token of the next agent is the wall time in
 * milliseconds, and must be higher.
 */
const fencingTokenStep = 1;
/** Increment after a refusal, until the token is high enough. */
const fencingTokenCatchUpStep = 1000;
/** Increment when an executor is taken over: an agent raises its token at most once in some milliseconds. */
const takeOverTokenStep = 1_000_000;
/** Longest time by which the responses to two calls may arrive in the wrong order: a call takes no longer, with the wait of a poll. */
const maxReorderingMs: Milliseconds = 250;

/** Creates the lease for an executor incarnation that has not responded yet. */
export function createExecutorLease({
	clock, firstFencingToken, maxLeaseMs, getRenewalLimit, onPauseWitnessed, onClockSetBack,
}: ExecutorLeaseHost): ExecutorLease {
	let clockComparison = createClockComparison(clock);
	const leaseDuration = Math.min(leaseMs, maxLeaseMs);
	let fencingToken = firstFencingToken;
	let clockOffset: Milliseconds | undefined;
	/** Time on this process's clock by which all runs at the executor have ended unless the lease is renewed. */
	let expiresAt = -Infinity;
	/** The latest time that the executor has reported. */
	let latestExecutorTime = -Infinity;
	/** Number of incarnations that were followed by another one. */
	let formerIncarnations = 0;

	return {
		getFencingToken: () => fencingToken,
		raiseFencingToken(usedToken) {
			raise(usedToken, fencingTokenStep);
		},
		catchUpFencingToken(usedToken) {
			raise(usedToken, fencingTokenCatchUpStep);
		},
		canRenew: () => clockOffset !== undefined && getDuration() > 0,
		tryRenew() {
			const duration = getDuration();
			if (clockOffset === undefined || duration <= 0) {
				return undefined;
			}

			recordGrant(duration);
			return Math.floor(clock.now() + clockOffset + duration);
		},
		raiseAboveEarlierAgent() {
			fencingToken += takeOverTokenStep;
		},
		hasExpired: () => clock.now() > expiresAt,
		async track(call) {
			const formerIncarnationsBefore = formerIncarnations;
			const response = await call;
			if (formerIncarnations !== formerIncarnationsBefore) {
				recordLongestGrant();
			} else if (response.executorTime !== undefined) {
				recordExecutorTime(response.executorTime);
			}

			return response;
		},
		continueWithNext(executorTime) {
			formerIncarnations++;
			fencingToken += fencingTokenStep;
			recordLongestGrant();
			clockComparison = createClockComparison(clock);
			clockOffset = undefined;
			latestExecutorTime = -Infinity;
			if (executorTime !== undefined) {
				recordExecutorTime(executorTime);
			}
		},
		tryGetClockOffset: () => clockOffset,
	};

	function raise(usedToken: number, step: number): void {
		if (fencingToken === usedToken) {
			fencingToken += step;
		}
	}

	// The clock of an incarnation starts anew, so an expiry on the clock of the one before is later than any that it grants.
	function recordLongestGrant(): void {
		recordGrant(maxLeaseMs);
	}

	/** Records that runs may go on for the duration of a lease from now on. */
	function recordGrant(duration: Milliseconds): void {
		expiresAt = Math.max(expiresAt, clock.now() + (duration * (1 + maxClockRateError)) + clockMarginMs);
	}

	function recordExecutorTime(executorTime: Milliseconds): void {
		clockOffset = executorTime - clock.now();
		reportWitnessedPause(clockComparison.record(executorTime));
		if (executorTime + maxReorderingMs < latestExecutorTime) {
			latestExecutorTime = executorTime;
			onClockSetBack();
		} else {
			latestExecutorTime = Math.max(latestExecutorTime, executorTime);
		}
	}

	/** Returns the duration of a lease that starts now; not positive if there must be none. */
	function getDuration(): Milliseconds {
		return Math.min(leaseDuration, getRenewalLimit() - clock.now());
	}

	function reportWitnessedPause(pause: Milliseconds): void {
		if (pause > 0) {
			onPauseWitnessed(pause);
		}
	}
}
