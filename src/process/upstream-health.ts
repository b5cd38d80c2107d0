/**
 * An agent's classification of its upstream as healthy, suspect or probing. It guards against upstreams that accept tasks
 * and fail them, run them very slowly or make no progress at all: such an upstream always has free resources, so it would
 * attract more work than healthy ones. A suspect upstream is put in quarantine, during which entries start no tasks on it.
 * Then it is probed with single tasks until one of them succeeds in good time.
 */
import {Soundness as HealthState} from '../generated/kingcuplane.js';
import {maxHealthySlowdown} from '../request/progress.js';
import type {Clock, Milliseconds} from './clock.js';

/** Health of one upstream. */
export type UpstreamHealth = {
	/** Records that a run has ended by itself, not because it was stopped. */
	recordRunEnd(isFailed: boolean): void;
	/**
	 * Records the projected slowdowns of the current runs: projected divided by declared run time. Slowness is measured by
	 * progress and not by the ends of runs, since a lost response delays the report of all ends that it contained.
	 */
	recordProjectedSlowdowns(projections: readonly number[]): void;
	getState(): HealthState;
};

/** Number of failures in a row that make an upstream suspect; a healthy one fails a few tasks in a thousand. */
const suspectFailureCount = 3;
/** Number of runs that make an upstream suspect at once if their report is slow, that is, if the median run is too slow. */
const suspectSlowRunCount = 3;
/** Number of slow reports in a row that make an upstream with fewer runs suspect. */
const suspectSlowReportCount = 3;
/** Least time between two slow reports that are counted separately. */
const minReportSpacingMs: Milliseconds = 60;
/** Length of the first quarantine. Each further one in a row is twice as long, up to the maximum. */
const firstQuarantineMs: Milliseconds = 400;
const maxQuarantineMs: Milliseconds = 3000;

/**
 * Maximum run time ratio that counts as the nature of an upstream. One that is always slower than declared by more than
 * this is judged as if it had become slow.
 */
const maxNaturalRatio = 2.5;

/**
 * Creates the health of an upstream that is assumed to be healthy. `tryGetRunTimeRatio` returns how long its runs usually
 * take, relative to their declared run times: an upstream that is always slow is not suspect for it.
 */
export function createUpstreamHealth(clock: Clock, tryGetRunTimeRatio: () => number | undefined = () => undefined): UpstreamHealth {
	let failures = 0;
	let slowReports = 0;
	let lastSlowReportAt = -Infinity;
	let quarantines = 0;
	let quarantinedUntil = -Infinity;

	return {
		recordRunEnd(isFailed) {
			failures = isFailed ? failures + 1 : 0;
			const state = getState();
			if (state === HealthState.SOUNDNESS_PROBED && !isFailed) {
				quarantines = 0;
			} else if (failures >= (state === HealthState.SOUNDNESS_PROBED ? 1 : suspectFailureCount)) {
				startQuarantine();
			}
		},
		recordProjectedSlowdowns(projections) {
			if (projections.length === 0) {
				return;
			}

			// A fast upstream is not held to its speed: single jobs may take several times their declared run time.
			const naturalRatio = Math.max(1, Math.min(maxNaturalRatio, tryGetRunTimeRatio() ?? 1));
			const isSlow = projections.toSorted((a, b) => a - b)[Math.floor(projections.length / 2)]! > maxHealthySlowdown * naturalRatio;
			if (!isSlow) {
				slowReports = 0;
				return;
			}

			if (clock.now() - lastSlowReportAt >= minReportSpacingMs) {
				slowReports++;
				lastSlowReportAt = clock.now();
			}

			// A probed upstream has been suspect before, so a single slow report is enough.
			if (projections.length >= suspectSlowRunCount || slowReports >= suspectSlowReportCount || getState() === HealthState.SOUNDNESS_PROBED) {
				startQuarantine();
			}
		},
		getState,
	};

	function getState(): HealthState {
		if (clock.now() < quarantinedUntil) {
			return HealthState.SOUNDNESS_SUSPECT;
		}

		return quarantines > 0 ? HealthState.SOUNDNESS_PROBED : HealthState.SOUNDNESS_SOUND;
	}

	function startQuarantine(): void {
		if (getState() === HealthState.SOUNDNESS_SUSPECT) {
			return;
		}

		quarantinedUntil = clock.now() + Math.min(maxQuarantineMs, firstQuarantineMs * (2 ** quarantines));
		quarantines++;
		failures = 0;
		slowReports = 0;
	}
}
