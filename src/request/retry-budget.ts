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

/** The retry budgets of all services. */
export type RetryBudgets = {
	/** Returns the budget of a service; a new one if its share of retries has changed. */
	get(service: string, percent: number): RetryBudget;
};

/** Creates an empty set of budgets. */
export function createRetryBudgets(): RetryBudgets {
	const budgets = new Map<string, {readonly percent: number; readonly budget: RetryBudget}>();

	return {
		get(service, percent) {
			const known = budgets.get(service);
			if (known?.percent === percent) {
				return known.budget;
			}

			const budget = createRetryBudget(percent);
			budgets.set(service, {percent, budget});
			return budget;
		},
	};
}

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
