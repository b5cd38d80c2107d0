/**
 * An agent's own judgement of its upstream. Answers the pattern of an upstream that takes work and fails it, crawls or
 * stands still: it has room all the time, so it would draw more work than the sound ones. A suspect upstream is offered
 * to nobody for a while, then probed with single tasks until one of them succeeds in good time.
 */
import {Soundness as SoundnessState} from '../generated/kingcuplane.js';
import {maxHealthySlowdown} from '../request/progress.js';
import type {Clock, Milliseconds} from './clock.js';

/** Judges one upstream. */
export type UpstreamHealth = {
	/** A run ended by itself. */
	recordRunEnd(isFailed: boolean): void;
	/**
	 * The upstream told its progress: the run times over the declared ones that its runs are heading for. Ends are no
	 * sign of slowness, as an answer that is lost delays the news of all ends that it would have told.
	 */
	recordProjectedSlowdowns(projections: readonly number[]): void;
	getState(): SoundnessState;
};

/** Failures in a row that make an upstream suspect; a sound one fails a few tasks in a thousand. */
const maxFailures = 3;
/** Slow runs that make an upstream suspect at once, and the times in a row that fewer have to be seen. */
const manyRuns = 3;
const slowLooks = 3;
/** Least time between two looks that count each. */
const lookMs: Milliseconds = 60;
/** Length of the first quarantine; each further one in a row is twice as long, up to the maximum. */
const firstQuarantineMs: Milliseconds = 400;
const maxQuarantineMs: Milliseconds = 3000;

/** Creates the judgement of an upstream that is taken for sound. */
export function createUpstreamHealth(clock: Clock): UpstreamHealth {
	let failures = 0;
	let slow = 0;
	let lookedAt = -Infinity;
	let quarantines = 0;
	let quarantinedUntil = -Infinity;

	return {
		recordRunEnd(isFailed) {
			failures = isFailed ? failures + 1 : 0;
			const state = getState();
			if (state === SoundnessState.SOUNDNESS_PROBED && !isFailed) {
				quarantines = 0;
			} else if (failures >= (state === SoundnessState.SOUNDNESS_PROBED ? 1 : maxFailures)) {
				doubt();
			}
		},
		recordProjectedSlowdowns(projections) {
			if (projections.length === 0) {
				return;
			}

			const isSlow = projections.toSorted((a, b) => a - b)[Math.floor(projections.length / 2)]! > maxHealthySlowdown;
			if (!isSlow) {
				slow = 0;
				return;
			}

			if (clock.now() - lookedAt >= lookMs) {
				slow++;
				lookedAt = clock.now();
			}

			// A probed upstream has shown its fault before, so the first sign counts.
			if (projections.length >= manyRuns || slow >= slowLooks || getState() === SoundnessState.SOUNDNESS_PROBED) {
				doubt();
			}
		},
		getState,
	};

	function getState(): SoundnessState {
		if (clock.now() < quarantinedUntil) {
			return SoundnessState.SOUNDNESS_SUSPECT;
		}

		return quarantines > 0 ? SoundnessState.SOUNDNESS_PROBED : SoundnessState.SOUNDNESS_SOUND;
	}

	function doubt(): void {
		if (getState() === SoundnessState.SOUNDNESS_SUSPECT) {
			return;
		}

		quarantinedUntil = clock.now() + Math.min(maxQuarantineMs, firstQuarantineMs * (2 ** quarantines));
		quarantines++;
		failures = 0;
		slow = 0;
	}
}
