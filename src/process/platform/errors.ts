/**
 * The errors that implementations of the platform give, one function for each kind.
 */
import type {Milliseconds} from '../clock.js';
import {createDiagnostic, Diagnostics} from '../diagnostics.js';
import type {PlatformError} from './types.js';

/** No answer came because of the connection; `detail` says what happened to it. */
export function createUnreachableError(detail: string, mayHaveTakenEffect: boolean, retryAfter: Milliseconds): PlatformError {
	return {
		kind: 'unreachable',
		mayHaveTakenEffect,
		retryAfter,
		diagnostic: createDiagnostic(Diagnostics.Platform_is_unreachable, detail),
	};
}

/** No answer came within `timeout` milliseconds. */
export function createTimeoutError(timeout: Milliseconds, mayHaveTakenEffect: boolean, retryAfter: Milliseconds): PlatformError {
	return {
		kind: 'timeout',
		mayHaveTakenEffect,
		retryAfter,
		diagnostic: createDiagnostic(Diagnostics.Platform_timed_out, timeout),
	};
}

/** The platform refused the call before acting on it. */
export function createRateLimitError(retryAfter: Milliseconds): PlatformError {
	return {
		kind: 'rate-limited',
		mayHaveTakenEffect: false,
		retryAfter,
		diagnostic: createDiagnostic(Diagnostics.Platform_is_limiting),
	};
}

/** The platform answered, but not in the agreed form; `detail` says how. */
export function createInvalidAnswerError(detail: string, mayHaveTakenEffect: boolean, retryAfter: Milliseconds): PlatformError {
	return {
		kind: 'invalid',
		mayHaveTakenEffect,
		retryAfter,
		diagnostic: createDiagnostic(Diagnostics.Platform_answer_is_invalid, detail),
	};
}
