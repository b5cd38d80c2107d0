/**
 * Paces the starts of an entry by what its network link carries: only a small amount of them is on the way at any time. The others wait
 * in the scheduler, which drops them when their job ends, while results, heartbeats and answers find a free link.
 */
import type {Clock, Milliseconds, Timer} from './clock.js';
import type {LinkBudget} from './link-budget.js';

/** Dependencies of the pacing. */
export type StartPacingHost = {
	readonly clock: Clock;
	readonly budget: Pick<LinkBudget, 'getLoad' | 'plan'>;
	/** Holds all starts back, or lets them go. */
	setHeld(isHeld: boolean): void;
};

/** The pacing of one entry. */
export type StartPacing = {
	/** To be called with the size of each start that is about to be sent. */
	recordStart(bytes: number): void;
};

/** Output on the way from which starts wait: a fraction of what the shortest objectives leave for the whole way of a job. */
const maxBacklogMs: Milliseconds = 25;

/** Creates a pacing that lets the first start go at once. */
export function createStartPacing({clock, budget, setHeld}: StartPacingHost): StartPacing {
	let timer: Timer | undefined;

	return {
		recordStart(bytes) {
			budget.plan(bytes);
			holdIfFull();
		},
	};

	function holdIfFull(): void {
		const {backlog} = budget.getLoad();
		if (backlog > maxBacklogMs && timer === undefined) {
			setHeld(true);
			scheduleCheck(backlog);
		}
	}

	function scheduleCheck(backlog: Milliseconds): void {
		timer = clock.after(Math.max(1, backlog - maxBacklogMs), () => {
			const {backlog: remaining} = budget.getLoad();
			if (remaining > maxBacklogMs) {
				scheduleCheck(remaining);
			} else {
				timer = undefined;
				// May call `recordStart` before it returns.
				setHeld(false);
			}
		});
	}
}
