/**
 * A circuit breaker: after several failures in a row, calls are refused without being made for a pause, and
 * then one call at a time is let through until one succeeds.
 */
import type {Clock, Milliseconds} from '../clock.js';

/** What a circuit breaker needs. */
export type CircuitBreakerHost = {
	readonly clock: Clock;
	/** Failures in a row that open the circuit. */
	readonly failureThreshold: number;
	/** Time without calls after each failure of an open circuit. */
	readonly resetTimeout: Milliseconds;
};

/** A circuit breaker around one service. */
export type CircuitBreaker = {
	/** Returns undefined if a call may be made, and else the time to wait. The outcome must be reported. */
	tryAcquire(): Milliseconds | undefined;
	recordSuccess(): void;
	recordFailure(): void;
};

/** Creates a closed circuit. */
export function createCircuitBreaker({clock, failureThreshold: failuresToOpen, resetTimeout: pause}: CircuitBreakerHost): CircuitBreaker {
	let failures = 0;
	let pausedUntil = 0;

	return {
		tryAcquire() {
			if (failures < failuresToOpen) {
				return undefined;
			}

			const wait = pausedUntil - clock.now();
			if (wait > 0) {
				return wait;
			}

			// The probe holds back all other calls until it has ended or a pause has passed.
			pausedUntil = clock.now() + pause;
			return undefined;
		},
		recordSuccess() {
			failures = 0;
		},
		recordFailure() {
			failures++;
			pausedUntil = clock.now() + pause;
		},
	};
}
