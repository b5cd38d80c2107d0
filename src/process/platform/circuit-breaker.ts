/**
 * A circuit breaker: after several failures in a row, all calls are refused for some time. After that, one call at a time
 * is allowed as a probe until one succeeds.
 */
import type {Clock, Milliseconds} from '../clock.js';

/** Dependencies and limits of a circuit breaker. */
export type CircuitBreakerHost = {
	readonly clock: Clock;
	/** Number of failures in a row that open the circuit. */
	readonly failureThreshold: number;
	/** Time for which calls are refused after each failure that leaves the circuit open. */
	readonly resetTimeout: Milliseconds;
};

/** A circuit breaker around one service. */
export type CircuitBreaker = {
	/** Returns undefined if a call may be made, and otherwise the time to wait. The outcome of the call must be recorded. */
	tryAcquire(): Milliseconds | undefined;
	recordSuccess(): void;
	recordFailure(): void;
};

/** Creates a circuit breaker whose circuit is closed. */
export function createCircuitBreaker({clock, failureThreshold, resetTimeout}: CircuitBreakerHost): CircuitBreaker {
	let failures = 0;
	let openUntil = 0;

	return {
		tryAcquire() {
			if (failures < failureThreshold) {
				return undefined;
			}

			const wait = openUntil - clock.now();
			if (wait > 0) {
				return wait;
			}

			// No other call is allowed until this probe has ended or the reset timeout has passed again.
			openUntil = clock.now() + resetTimeout;
			return undefined;
		},
		recordSuccess() {
			failures = 0;
		},
		recordFailure() {
			failures++;
			openUntil = clock.now() + resetTimeout;
		},
	};
}
