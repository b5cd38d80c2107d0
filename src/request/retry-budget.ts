/**
 * Limits the retries of idempotent requests to a share of the first attempts, so that retries cannot amplify
 * an overload.
 */

/** Counts first attempts and grants retries. */
export type RetryBudget = {
	/** Records a first attempt, which adds to the budget. */
	recordFirstAttempt(): void;
	/** Spends one retry. Returns false if the budget is used up. */
	trySpend(): boolean;
};

/** Creates a budget of `percent` retries for each hundred first attempts. It accumulates at most `burst` retries. */
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
