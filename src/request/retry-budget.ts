/**
 * Bounds the extra attempts of idempotent requests to a share of the first attempts, so that retries cannot
 * multiply an overload.
 */

/** Counts first attempts and grants extra ones. */
export type RetryBudget = {
	/** A first attempt was made: adds to what may be spent. */
	recordFirstAttempt(): void;
	/** Spends one extra attempt; false if the budget is used up. */
	trySpend(): boolean;
};

/** Creates a budget of `percent` extra attempts for each hundred first ones, saving up at most `burst`. */
export function createRetryBudget(percent: number, burst = 10): RetryBudget {
	let balance = burst;

	return {
		recordFirstAttempt() {
			balance = Math.min(burst, balance + (percent / 100));
		},
		trySpend() {
			if (percent === 0 || balance < 1) {
				return false;
			}

			balance--;
			return true;
		},
	};
}
