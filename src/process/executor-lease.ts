/**
 * What an agent has to know to order an executor: the token of its orders, the executor's clock, and until when its lease
 * may last there.
 */
import type {Clock, Milliseconds} from './clock.js';
import type {WithExecutorTime} from './executor-types.js';

/** What the keeper needs. */
export type ExecutorLeaseHost = {
	readonly clock: Clock;
	/** Higher than any token that an earlier agent of this executor may have used. */
	readonly firstFencingToken: number;
	/** Longest lease that the executor grants. */
	readonly maxLeaseMs: Milliseconds;
};

/** Token and lease of one life of an executor. */
export type ExecutorLease = {
	getFencingToken(): number;
	/** Orders with `usedToken` are to have no effect any more; does nothing if the token was raised since. */
	raiseFencingToken(usedToken: number): void;
	/** The end of a lease that begins now, on the executor's clock; undefined before it has told its clock. */
	tryGetLeaseExpiry(): Milliseconds | undefined;
	/** An order that renews the lease is about to be sent; it may be carried out although no answer comes. */
	recordRenewal(): void;
	/** Whether the lease has run out on any clock that the executor may have. */
	hasExpired(): boolean;
	/** Takes the executor's clock from an answer. */
	recordResponse<T>(answer: WithExecutorTime<T>): WithExecutorTime<T>;
	/** The executor's clock less ours; undefined before it has told its clock. */
	tryGetClockOffset(): Milliseconds | undefined;
};

/** Lease of each renewal: long enough for three renewals to fail, short enough that a lost agent's tasks restart soon. */
const leaseMs: Milliseconds = 500;
/** An executor's clock may be up to this much slower than ours, as its page states. */
const clockError = 0.02;
/** Bound on the error of the estimated clock, beside its rate. */
const clockMarginMs: Milliseconds = 20;
/** Raised by this much when another token was seen. */
const tokenStep = 1000;

/** Creates the keeper for a life that has not answered yet. */
export function createExecutorLease({clock, firstFencingToken: firstToken, maxLeaseMs}: ExecutorLeaseHost): ExecutorLease {
	const lease = Math.min(leaseMs, maxLeaseMs);
	let token = firstToken;
	let offset: Milliseconds | undefined;
	/** No run can outlive this time on our clock unless the lease is renewed. */
	let endsAt = -Infinity;

	return {
		getFencingToken: () => token,
		raiseFencingToken(usedToken) {
			if (token === usedToken) {
				token += tokenStep;
			}
		},
		tryGetLeaseExpiry: () => offset === undefined ? undefined : Math.floor(clock.now() + offset + lease),
		recordRenewal() {
			endsAt = clock.now() + (lease * (1 + clockError)) + clockMarginMs;
		},
		hasExpired: () => clock.now() > endsAt,
		recordResponse(answer) {
			if (answer.executorTime !== undefined) {
				offset = answer.executorTime - clock.now();
			}

			return answer;
		},
		tryGetClockOffset: () => offset,
	};
}
