/**
 * A circuit breaker: after several failures in a row, calls are refused without being made for a pause, and
 * then one call at a time is let through until one succeeds.
 */
import type {Clock, Milliseconds} from '../clock.js';

/** What a circuit breaker needs. */
export type CircuitHost = {
	readonly clock: Clock;
	/** Failures in a row that open the circuit. */
	readonly failuresToOpen: number;
	/** Time without calls after each failure of an open circuit. */
	readonly pause: Milliseconds;
};

/** A circuit breaker around one service. */
export type Circuit = {
	/** Returns undefined if a call may be made, and else the time to wait. The outcome must be reported. */
	tryEnter(): Milliseconds | undefined;
	reportSuccess(): void;
	reportFailure(): void;
};

/** Creates a closed circuit. */
export function createCircuit({clock, failuresToOpen, pause}: CircuitHost): Circuit {
	let failures = 0;
	let pausedUntil = 0;

	return {
		tryEnter() {
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
		reportSuccess() {
			failures = 0;
		},
		reportFailure() {
			failures++;
			pausedUntil = clock.now() + pause;
		},
	};
}
