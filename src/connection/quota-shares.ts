/**
 * Enforces team quotas over all entries without a store. Rendezvous hashing chooses one live entry per team as coordinator,
 * which divides the quota by the use and demand that entries report. No entry exceeds its granted share, and more is granted
 * only from quota that others gave up, so shares never exceed the quota while the set of live entries does not change.
 */
import {createHash} from 'node:crypto';
import type {Clock, Milliseconds} from '../process/clock.js';
import {
	createIdleReport, divideQuota, getNextGrantSeq, isSameReport, isGrantUnapplied, isGrantDue, type ReportedShare, type ShareGrant, type ShareReport,
} from './quota-division.js';
import {chooseByRendezvousHash} from './rendezvous.js';
import type {TeamQuota} from './types.js';

/** A message with reports and grants to one entry. */
export type ShareNews = {
	readonly reports: readonly ShareReport[];
	readonly grants: readonly ShareGrant[];
	/**
	 * Hash of the set of live entries for which the reports are complete: they name every team that the receiver
	 * coordinates and of which the sender claims a share. Empty if the reports contain changes only.
	 */
	readonly fullFor: string;
	/** Hash of the live set for which the sender has divided the quotas of all teams it coordinates; empty if unchanged. */
	readonly dividedFor: string;
};

/** Dependencies of the quota shares. */
export type QuotaSharesHost = {
	readonly clock: Clock;
	/** Incarnation of this entry. */
	readonly self: string;
	/** Returns the incarnations of all live entries, including this one. */
	getLiveEntries(): readonly string[];
	/** Returns the quota of a team in the active configuration. */
	getLimit(team: string): number;
	/** Sends a message to another entry; it may be lost. */
	send(entry: string, message: ShareNews): void;
};

/** The quotas as enforced by one entry, which acquires from its share of each. */
export type QuotaShares = TeamQuota & {
	receive(entry: string, message: ShareNews): void;
	/** Schedules complete reports to an entry after a stream to it opens, as messages may have been lost with the last one. */
	resynchronize(entry: string): void;
	/** Sends reports and grants; to be called every {@link shareReportIntervalMs}. */
	tick(): void;
	/** Returns the share of a team that this entry claims. */
	getShare(team: string): number;
};

/** Interval between reports; the length of a tick. */
export const shareReportIntervalMs: Milliseconds = 200;
/** Number of ticks after the first report of a team for which its coordinator waits for reports of other entries. */
const firstReportTicks = 2;
/** Number of ticks within which a demand is reported, divided and granted; a demand not granted by then is refused. */
const maxWaitTicks = 5;
/** Number of ticks for which further demand is refused at once after a shortage. */
const shortageTicks = 25;
/** Number of ticks after which unchanged reports and unapplied grants are sent again. */
const resendTicks = 10;

/** Tasks that wait for quota until their demand has been reported and divided. */
type WaitingAcquire = {
	readonly tasks: number;
	readonly refuseAtTick: number;
	readonly done: (isAcquired: boolean) => void;
};

type OwnShare = {
	used: number;
	/** Number of tasks refused or waiting since the last report. */
	refused: number;
	readonly waiting: WaitingAcquire[];
	/** Tick before which demand beyond the share is refused at once because of a recent shortage. */
	shortageUntilTick: number;
	claim: number;
	granted: number | undefined;
	grantSeq: number;
	sentReport?: ShareReport;
	sentTo?: string;
	sentAtTick: number;
};

/** Reports and grants of one tick by receiving entry. */
type PendingMessages = Map<string, {readonly reports: ShareReport[]; readonly grants: ShareGrant[]}>;

type CoordinatedTeam = {
	readonly sinceTick: number;
	readonly entries: Map<string, ReportedShare>;
};

/** Creates the quota shares of an entry that has no shares yet. */
export function createQuotaShares(host: QuotaSharesHost): QuotaShares {
	const ownShares = new Map<string, OwnShare>();
	const coordinatedTeams = new Map<string, CoordinatedTeam>();
	/** Hash of the set of live entries for which each entry has sent complete reports. */
	const fullReportsFrom = new Map<string, string>();
	/** Hash of the set of live entries for which each entry has divided the quotas of all teams that it coordinates. */
	const dividedBy = new Map<string, string>();
	/** Entries to which this entry has reported that it has divided the quotas of all its teams for the live entries. */
	const dividedTo = new Set<string>();
	/** Entries to which complete reports were sent on the current stream. */
	const fullReportsTo = new Set<string>();
	let liveSetHash = '';
	let liveEntries: readonly string[] = [host.self];
	let coordinators = new Map<string, string>();
	let ticks = 0;
	/** Tick at which the complete reports of all live entries had arrived. */
	let allReportedAtTick: number | undefined;

	return {
		acquire(team, tasks, done) {
			const share = getOwnShare(team);
			if (tryAcquire(team, share, tasks)) {
				done(true);
				return;
			}

			share.refused += tasks;
			if (ticks < share.shortageUntilTick || tasks > host.getLimit(team)) {
				done(false);
				return;
			}

			share.waiting.push({tasks, refuseAtTick: ticks + maxWaitTicks, done});
		},
		release(team, tasks) {
			getOwnShare(team).used -= tasks;
		},
		receive,
		resynchronize(entry) {
			fullReportsTo.delete(entry);
			dividedTo.delete(entry);
		},
		tick,
		getShare: team => getClaim(team, getOwnShare(team)),
	};

	function getOwnShare(team: string): OwnShare {
		let share = ownShares.get(team);
		if (share === undefined) {
			share = {
				used: 0, refused: 0, waiting: [], shortageUntilTick: 0, claim: 0, granted: undefined, grantSeq: 0, sentAtTick: 0,
			};
			ownShares.set(team, share);
		}

		return share;
	}

	function serveWaiting(team: string, share: OwnShare): void {
		while (share.waiting[0] !== undefined && tryAcquire(team, share, share.waiting[0].tasks)) {
			share.waiting.shift()!.done(true);
		}
	}

	// Refuses overdue tasks: the coordinator has got the demand and had no quota left. More demand is refused at once for a while.
	function refuseOverdue(team: string, share: OwnShare): void {
		serveWaiting(team, share);
		if (share.granted !== undefined || hasCoordinatorDivided(team)) {
			while (share.waiting[0] !== undefined && share.waiting[0].refuseAtTick <= ticks) {
				share.shortageUntilTick = ticks + shortageTicks;
				share.waiting.shift()!.done(false);
			}
		}

		for (const {tasks} of share.waiting) {
			share.refused += tasks;
		}
	}

	// A division grants every live entry a share, so a team without a grant was idle: each entry may use an even share at once.
	function getClaim(team: string, share: OwnShare): number {
		if (share.granted === undefined && share.claim === 0 && hasCoordinatorDivided(team)) {
			share.claim = Math.floor(host.getLimit(team) / liveEntries.length);
		}

		return share.claim;
	}

	function hasCoordinatorDivided(team: string): boolean {
		return dividedBy.get(getCoordinator(team)) === liveSetHash;
	}

	function getCoordinator(team: string): string {
		let coordinator = coordinators.get(team);
		if (coordinator === undefined) {
			coordinator = chooseByRendezvousHash(team, liveEntries);
			coordinators.set(team, coordinator);
		}

		return coordinator;
	}

	function tryAcquire(team: string, share: OwnShare, tasks: number): boolean {
		if (share.used + tasks > getClaim(team, share)) {
			return false;
		}

		share.used += tasks;
		return true;
	}

	function tick(): void {
		ticks++;
		updateLiveEntries();
		for (const [team, share] of ownShares) {
			refuseOverdue(team, share);
		}

		shrinkClaims();
		const messages: PendingMessages = new Map();
		collectReports(messages);
		for (const [team, state] of coordinatedTeams) {
			divide(team, state, messages);
		}

		updateAllReportedTick();
		for (const entry of liveEntries) {
			const fullFor = entry === host.self || fullReportsTo.has(entry) ? '' : liveSetHash;
			const dividedFor = isDivisionComplete() && !dividedTo.has(entry) ? liveSetHash : '';
			const {reports, grants} = messages.get(entry) ?? {reports: [], grants: []};
			if (fullFor !== '' || dividedFor !== '' || reports.length > 0 || grants.length > 0) {
				deliver(entry, {
					reports, grants, fullFor, dividedFor,
				});
			}
		}
	}

	// The quotas of all teams in the complete reports are divided `firstReportTicks` after the last of these has arrived.
	function updateAllReportedTick(): void {
		if (!haveAllReported()) {
			allReportedAtTick = undefined;
		}

		allReportedAtTick ??= haveAllReported() ? ticks : undefined;
	}

	function isDivisionComplete(): boolean {
		return allReportedAtTick !== undefined && ticks - allReportedAtTick > firstReportTicks;
	}

	function haveAllReported(): boolean {
		return liveEntries.every(entry => entry === host.self || fullReportsFrom.get(entry) === liveSetHash);
	}

	function deliver(entry: string, message: ShareNews): void {
		fullReportsTo.add(entry);
		if (message.dividedFor !== '') {
			dividedTo.add(entry);
		}

		if (entry === host.self) {
			receive(entry, message);
		} else {
			host.send(entry, message);
		}
	}

	// A change of the set of live entries changes the coordinators, so complete reports are sent again.
	function updateLiveEntries(): void {
		const present = host.getLiveEntries().toSorted();
		const hash = createHash('sha1').update(present.join(' ')).digest('base64');
		if (hash === liveSetHash) {
			return;
		}

		liveSetHash = hash;
		liveEntries = present;
		coordinators = new Map();
		fullReportsTo.clear();
		dividedTo.clear();
		allReportedAtTick = undefined;
		const liveSet = new Set(present);
		for (const [team, state] of coordinatedTeams) {
			for (const entry of state.entries.keys()) {
				if (!liveSet.has(entry)) {
					state.entries.delete(entry);
				}
			}

			if (getCoordinator(team) !== host.self) {
				coordinatedTeams.delete(team);
			}
		}
	}

	function shrinkClaims(): void {
		for (const share of ownShares.values()) {
			if (share.granted !== undefined && share.claim > share.granted) {
				share.claim = Math.max(share.granted, share.used);
			}
		}
	}

	function collectReports(messages: PendingMessages): void {
		for (const [team, share] of ownShares) {
			const coordinator = getCoordinator(team);
			const report: ShareReport = {
				team, used: share.used, demand: share.used + share.refused, claim: share.claim, grantSeq: share.grantSeq,
			};
			share.refused = 0;
			const isDue = share.sentTo !== coordinator || !fullReportsTo.has(coordinator) || ticks - share.sentAtTick >= resendTicks;
			if (isDue || share.sentReport === undefined || !isSameReport(report, share.sentReport)) {
				getMessage(messages, coordinator).reports.push(report);
				share.sentReport = report;
				share.sentTo = coordinator;
				share.sentAtTick = ticks;
			}
		}
	}

	function receive(entry: string, message: ShareNews): void {
		if (message.fullFor !== '') {
			fullReportsFrom.set(entry, message.fullFor);
		}

		if (message.dividedFor !== '') {
			dividedBy.set(entry, message.dividedFor);
		}

		for (const report of message.reports) {
			acceptReport(entry, report);
		}

		for (const grant of message.grants) {
			acceptGrant(entry, grant);
		}
	}

	function acceptReport(entry: string, report: ShareReport): void {
		if (getCoordinator(report.team) !== host.self) {
			return;
		}

		const state: CoordinatedTeam = coordinatedTeams.get(report.team) ?? {sinceTick: ticks, entries: new Map()};
		coordinatedTeams.set(report.team, state);
		const share = state.entries.get(entry);
		if (share === undefined) {
			state.entries.set(entry, {report, grantedAtTick: 0});
		} else {
			share.report = report;
		}
	}

	function acceptGrant(entry: string, grant: ShareGrant): void {
		if (getCoordinator(grant.team) !== entry) {
			return;
		}

		const share = getOwnShare(grant.team);
		share.granted = grant.share;
		share.grantSeq = grant.seq;
		share.claim = Math.max(grant.share, Math.min(share.claim, share.used));
		serveWaiting(grant.team, share);
	}

	function divide(team: string, state: CoordinatedTeam, messages: PendingMessages): void {
		if (!haveAllReported() || ticks - state.sinceTick < firstReportTicks) {
			return;
		}

		for (const entry of liveEntries) {
			if (!state.entries.has(entry)) {
				state.entries.set(entry, {report: createIdleReport(team), grantedAtTick: 0});
			}
		}

		const limit = host.getLimit(team);
		const newShares = divideQuota(state.entries, limit);
		for (const [entry, share] of state.entries) {
			const grant = tryGetGrant(team, share, newShares.get(entry)!, limit);
			if (grant !== undefined) {
				getMessage(messages, entry).grants.push(grant);
			}
		}
	}

	/** Returns the grant to send now, if any: a new one, or the last one again if it was probably lost. */
	function tryGetGrant(team: string, share: ReportedShare, newShare: number, limit: number): ShareGrant | undefined {
		const isLost = isGrantUnapplied(share) && ticks - share.grantedAtTick >= resendTicks;
		if (isGrantDue(newShare, share, limit)) {
			share.grant = {team, share: newShare, seq: getNextGrantSeq(share)};
		} else if (!isLost) {
			return undefined;
		}

		share.grantedAtTick = ticks;
		return share.grant;
	}
}

function getMessage(messages: PendingMessages, entry: string): {readonly reports: ShareReport[]; readonly grants: ShareGrant[]} {
	let message = messages.get(entry);
	if (message === undefined) {
		message = {reports: [], grants: []};
		messages.set(entry, message);
	}

	return message;
}
