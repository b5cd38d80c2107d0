/**
 * What counts of the announcements of one incarnation of an executor. They may arrive late, and another writer may send some under
 * the same identity. Nothing but the executor's own announcements tells whether it leaves, so a doubt is decided for the safe
 * side: an executor of which any announcement says that it leaves gets no new tasks until it has announced steadily that it is ready.
 */
import {areEqualResources} from '../connection/resources.js';
import {createAnnouncementOrder} from './announcement-order.js';
import type {Clock} from './clock.js';
import type {ExecutorInfo} from './executor-types.js';
import {createSteadySeries} from './steady-series.js';

/** What an executor has announced about itself. */
export type ExecutorAnnouncement = {
	readonly executorInfo: ExecutorInfo;
	readonly isLeaving: boolean;
};

/** An announcement that has just arrived. */
export type ReceivedAnnouncement = ExecutorAnnouncement & {
	/** Increases with each announcement of one incarnation. */
	readonly sequence: number;
};

/** What became of an announcement. */
export type AnnouncementOutcome =
	/** What it says is in force. */
	| 'in-force'
	/** It says something else than a later one. */
	| 'outdated'
	/** It contradicts what is in force, and its writer has not gone on for long enough. */
	| 'unconfirmed';

/** The state of one incarnation of an executor, as it counts. */
export type AnnouncedState = {
	get(): ExecutorAnnouncement;
	/** Handles an announcement of this incarnation. */
	receive(announcement: ReceivedAnnouncement): AnnouncementOutcome;
	/** Counts the executor as leaving until its next announcement. */
	recordDeparture(): void;
};

/** Creates the state of an incarnation from its first announcement, received now or stored by an earlier process. */
export function createAnnouncedState(clock: Clock, first: ExecutorAnnouncement, firstSequence = -Infinity): AnnouncedState {
	let {executorInfo, isLeaving} = first;
	let hasAnnouncedLeaving = isLeaving;
	let order = createAnnouncementOrder(clock);
	order.accept(firstSequence);
	/** The announcements since the last one that said that the executor leaves. */
	const ready = createSteadySeries(clock);
	/** Announcements of a ready executor with another service, or other labels, than those that count. */
	const contradicting = createSteadySeries(clock);

	return {
		get: () => ({executorInfo, isLeaving}),
		receive,
		recordDeparture() {
			isLeaving = true;
		},
	};

	function receive(announcement: ReceivedAnnouncement): AnnouncementOutcome {
		if (!areSameDescriptions(executorInfo, announcement.executorInfo)) {
			return receiveContradicting(announcement);
		}

		contradicting.clear();
		const isNewer = order.accept(announcement.sequence);
		if (isNewer) {
			({executorInfo} = announcement);
		}

		if (announcement.isLeaving) {
			recordLeaving();
			return 'in-force';
		}

		const isSteady = ready.add(announcement.sequence);
		if (hasAnnouncedLeaving ? isSteady : isNewer) {
			hasAnnouncedLeaving = false;
			isLeaving = false;
		}

		if (isLeaving) {
			return 'unconfirmed';
		}

		return areEqualResources(executorInfo.room, announcement.executorInfo.room) ? 'in-force' : 'outdated';
	}

	// One incarnation has one description, so either this announcement or those before it are not the executor's.
	function receiveContradicting(announcement: ReceivedAnnouncement): AnnouncementOutcome {
		if (announcement.isLeaving) {
			contradicting.clear();
			recordLeaving();
			return 'in-force';
		}

		if (!contradicting.add(announcement.sequence)) {
			return 'unconfirmed';
		}

		contradicting.clear();
		order = createAnnouncementOrder(clock);
		order.accept(announcement.sequence);
		({executorInfo} = announcement);
		hasAnnouncedLeaving = false;
		isLeaving = false;
		return 'in-force';
	}

	function recordLeaving(): void {
		ready.clear();
		hasAnnouncedLeaving = true;
		isLeaving = true;
	}
}

/** Whether two announcements agree in what stays the same for the life of an executor. */
export function areSameDescriptions(a: ExecutorInfo, b: ExecutorInfo): boolean {
	return a.service === b.service && a.bornAt === b.bornAt && JSON.stringify(a.labels) === JSON.stringify(b.labels);
}
