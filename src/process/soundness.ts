/**
 * An agent's own judgement of its upstream. Answers the pattern of an upstream that takes work and fails it, crawls or
 * stands still: it has room all the time, so it would draw more work than the sound ones. A suspect upstream is offered
 * to nobody for a while, then probed with single tasks until one of them succeeds in good time.
 */
import {Soundness as SoundnessState} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from './clock.js';

/** Judges one upstream. */
export type Soundness = {
	/** A run ended; `ratio` is its run time over the declared one, undefined if none was declared. */
	recordEnd(isFailed: boolean, ratio: number | undefined): void;
	/** Run times over the declared ones that the present runs are heading for. */
	observe(projections: readonly number[]): void;
	getState(): SoundnessState;
};

/** Failures in a row that make an upstream suspect; a sound one fails a few tasks in a thousand. */
const maxFailures = 3;
/** The middle one of some ratios beyond this makes an upstream suspect; of sound runs one in a thousand is beyond it. */
const slowRatio = 4;
/** Ratios that are needed for a judgement, and how many of the newest ends count. */
const minRatios = 3;
const keptRatios = 4;
/** Length of the first quarantine; each further one in a row is twice as long, up to the maximum. */
const firstQuarantineMs: Milliseconds = 400;
const maxQuarantineMs: Milliseconds = 3000;

/** Creates the judgement of an upstream that is taken for sound. */
export function createSoundness(clock: Clock): Soundness {
	let failures = 0;
	let ratios: number[] = [];
	let quarantines = 0;
	let quarantinedUntil = -Infinity;

	return {
		recordEnd(isFailed, ratio) {
			failures = isFailed ? failures + 1 : 0;
			if (!isFailed && ratio !== undefined) {
				ratios = [...ratios, ratio].slice(-keptRatios);
				if (getState() === SoundnessState.SOUNDNESS_PROBED && ratio < slowRatio) {
					quarantines = 0;
				}
			}

			review([]);
		},
		observe: review,
		getState,
	};

	function getState(): SoundnessState {
		if (clock.now() < quarantinedUntil) {
			return SoundnessState.SOUNDNESS_SUSPECT;
		}

		return quarantines > 0 ? SoundnessState.SOUNDNESS_PROBED : SoundnessState.SOUNDNESS_SOUND;
	}

	function review(projections: readonly number[]): void {
		const state = getState();
		if (state === SoundnessState.SOUNDNESS_SUSPECT) {
			return;
		}

		// A probed upstream has shown its fault before, so the first sign counts.
		const isFailing = failures >= (state === SoundnessState.SOUNDNESS_PROBED ? 1 : maxFailures);
		const seen = [...ratios, ...projections].toSorted((a, b) => a - b);
		const isSlow = seen.length >= minRatios && seen[Math.floor(seen.length / 2)]! > slowRatio;
		const isStillSlow = state === SoundnessState.SOUNDNESS_PROBED && projections.some(ratio => ratio > slowRatio);
		if (isFailing || isSlow || isStillSlow) {
			quarantinedUntil = clock.now() + Math.min(maxQuarantineMs, firstQuarantineMs * (2 ** quarantines));
			quarantines++;
			failures = 0;
			ratios = [];
		}
	}
}
