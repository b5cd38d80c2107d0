/**
 * Random faults that let the hellos of an agent arrive late and out of order, while it opens other links or is followed by other
 * incarnations.
 */
import type {Milliseconds} from '../../../src/process/clock.js';
import type {RandomSource} from '../simulation.js';
import {agentNames, entryNames, type LeasedCluster} from './cluster.js';

/** What makes an agent say hello again. */
type Succession = 'new-link' | 'executor-restart' | 'agent-restart' | 'both-restart';

/** A hello that is held on its way, and what follows after it was sent. */
type HeldHello = {
	readonly delay: Milliseconds;
	/** Time from the opening of the link. */
	readonly followsAfter: Milliseconds;
	readonly succession: Succession;
	/** Time for which an executor or an agent is down, and until a restarted executor announces itself. */
	readonly downTime: Milliseconds;
	readonly announcementDelay: Milliseconds;
};

const faultCount = 10;
/** Hellos of one agent that are held one after the other. */
const maxHellos = 3;
const maxDelayMs: Milliseconds = 2500;
/** Time from the opening of a link until its agent has answered the welcome. */
const answeredMs: Milliseconds = 10;
const maxFollowingMs: Milliseconds = 300;
const maxDownMs: Milliseconds = 100;
const maxAnnouncementDelayMs: Milliseconds = 200;

/** Schedules the faults within `window`, and adds each to `faults` when it happens. */
export function scheduleHeldHellos({sim: {clock}, network, kill, restartExecutor}: LeasedCluster, randomSource: RandomSource, window: Milliseconds, faults: string[]): void {
	for (let i = 0; i < faultCount; i++) {
		const agent = randomSource.pick(agentNames);
		const hellos = Array.from({length: randomSource.integer(1, maxHellos)}, () => sampleHello(randomSource));
		clock.after(randomSource.integer(0, window), () => {
			faults.push(`${Math.round(clock.now())} held hellos ${JSON.stringify({agent, hellos})}`);
			hold(agent, hellos);
			openNewLinks(agent);
		});
	}

	/** Holds the next hello of the agent to each entry, and lets the succession follow after the first of them. */
	function hold(agent: string, [hello, ...next]: readonly HeldHello[]): void {
		if (hello === undefined) {
			return;
		}

		let isFollowed = false;
		const follow = () => {
			if (!isFollowed) {
				isFollowed = true;
				clock.after(hello.followsAfter, () => {
					hold(agent, next);
					succeed(agent, hello);
				});
			}
		};

		for (const entry of entryNames) {
			network.holdNext(agent, entry, hello.delay, follow);
		}
	}

	function succeed(agent: string, {succession, downTime, announcementDelay}: HeldHello): void {
		switch (succession) {
			case 'new-link': {
				openNewLinks(agent);
				break;
			}

			case 'executor-restart': {
				restartExecutor(agent, downTime, announcementDelay);
				break;
			}

			case 'agent-restart': {
				kill(agent, downTime, 0);
				break;
			}

			case 'both-restart': {
				restartExecutor(agent, downTime, announcementDelay);
				kill(agent, downTime, 0);
				break;
			}
		}
	}

	function openNewLinks(agent: string): void {
		for (const entry of entryNames) {
			network.giveUp(agent, entry);
		}
	}
}

function sampleHello(randomSource: RandomSource): HeldHello {
	return {
		delay: randomSource.pick([0, randomSource.integer(50, 1000), randomSource.integer(50, maxDelayMs)]),
		followsAfter: randomSource.integer(answeredMs, maxFollowingMs),
		succession: randomSource.pick<Succession>(['new-link', 'executor-restart', 'agent-restart', 'both-restart']),
		downTime: randomSource.integer(1, maxDownMs),
		announcementDelay: randomSource.integer(1, maxAnnouncementDelayMs),
	};
}
