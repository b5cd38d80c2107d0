/**
 * Checks for states that correct code cannot reach.
 */

/** Throws for a union member that a `switch` does not handle. The compiler already rejects such code. */
export function assertNever(value: never): never {
	throw new Error(`Unhandled case: ${JSON.stringify(value)}`);
}

/** Throws unless `condition` holds. `message` says which invariant was broken. */
export function assert(condition: boolean, message: string): asserts condition {
	if (!condition) {
		throw new Error(`Broken invariant: ${message}`);
	}
}

/** Returns `value`, throwing if it is undefined. `message` names what is missing. */
export function checkDefined<T>(value: T | undefined, message: string): T {
	assert(value !== undefined, message);
	return value;
}
