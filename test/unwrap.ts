/**
 * Unwraps results in tests, where an unexpected outcome should fail the test.
 */
import type {ResultAsync} from 'neverthrow';

/** Returns the value of a success; throws on a failure. */
export async function unwrap<T, E>(pending: ResultAsync<T, E>): Promise<T> {
	const result = await pending;
	return result._unsafeUnwrap();
}

/** Returns the error of a failure; throws on a success. */
export async function unwrapError<T, E>(pending: ResultAsync<T, E>): Promise<E> {
	const result = await pending;
	return result._unsafeUnwrapErr();
}
