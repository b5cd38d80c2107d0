/**
 * Creates the errors that implementations of the platform return, one function for each kind.
 */
import type {Milliseconds} from '../clock.js';
import {createDiagnostic, Diagnostics} from '../diagnostics.js';
import type {PlatformError} from './types.js';

/** Creates the error for a call that got no answer because of its connection; `detail` describes the failure. */
export function createUnreachableError(detail: string, mayHaveTakenEffect: boolean, retryAfter: Milliseconds): PlatformError {
	return {
		kind: 'unreachable',
		mayHaveTakenEffect,
		retryAfter,
		diagnostic: createDiagnostic(Diagnostics.Platform_is_unreachable, detail),
	};
}

/** Creates the error for a call that got no answer within `timeout` milliseconds. */
export function createTimeoutError(timeout: Milliseconds, mayHaveTakenEffect: boolean, retryAfter: Milliseconds): PlatformError {
	return {
		kind: 'timeout',
		mayHaveTakenEffect,
		retryAfter,
		diagnostic: createDiagnostic(Diagnostics.Platform_timed_out, timeout),
	};
}

/** Creates the error for a call that the platform refused because of its rate limit, without any effect. */
export function createRateLimitError(retryAfter: Milliseconds): PlatformError {
	return {
		kind: 'rate-limited',
		mayHaveTakenEffect: false,
		retryAfter,
		diagnostic: createDiagnostic(Diagnostics.Platform_is_limiting),
	};
}

/** Creates the error for an answer in an unexpected format; `detail` describes the difference. */
export function createInvalidAnswerError(detail: string, mayHaveTakenEffect: boolean, retryAfter: Milliseconds): PlatformError {
	return {
		kind: 'invalid',
		mayHaveTakenEffect,
		retryAfter,
		diagnostic: createDiagnostic(Diagnostics.Platform_answer_is_invalid, detail),
	};
}
