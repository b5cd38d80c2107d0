/**
 * Holds the quotas of teams over all entries without a store. One live entry coordinates each team, chosen by
 * rendezvous hashing: the others report what they use and want, and it divides the quota among them. An
 * entry never exceeds the share it was granted, and the coordinator grants more only from what other
 * entries have given up, so the shares never exceed the quota while the set of live entries stands.
 */
import {createHash} from 'node:crypto';
import type {Clock, Milliseconds} from '../process/clock.js';
import {
	createIdleReport, divideQuota, getNextGrantSeq, isSameReport, isGrantUnapplied, isGrantDue, type ReportedShare, type ShareGrant, type ShareReport,
} from './quota-division.js';
import {chooseByRendezvousHash} from './rendezvous.js';
import type {TeamQuota} from './types.js';

/** Reports and grants to one entry. */
export type ShareNews = {
	readonly reports: readonly ShareReport[];
	readonly grants: readonly ShareGrant[];
	/**
	 * The set of live entries, as a hash, under which the reports name every team that the sender claims a share
	 * of and the receiver coordinates; empty if they name only what has changed.
	 */
	readonly fullFor: string;
	/** The set of live entries, as a hash, for which the sender has divided all teams it coordinates; empty if unchanged. */
	readonly dividedFor: string;
};

/** Effects of the shares. */
export type QuotaSharesHost = {
	readonly clock: Clock;
	/** Incarnation of this entry. */
	readonly self: string;
	/** Incarnations of all live entries, this one included. */
	getLiveEntries(): readonly string[];
	/** Quota of a team in the configuration in force. */
	getLimit(team: string): number;
	/** Sends news to another entry; it may be lost. */
	send(entry: string, news: ShareNews): void;
};

/** The quotas as one entry enforces them: it takes from its share of each. */
export type QuotaShares = TeamQuota & {
	receive(entry: string, news: ShareNews): void;
	/** A stream to this entry opened: everything is told anew, since news may have been lost with the last one. */
	resynchronize(entry: string): void;
	/** Reports and grants; to be called every {@link shareReportIntervalMs}. */
	tick(): void;
	getShare(team: string): number;
};

/** Time between two reports. */
export const shareReportIntervalMs: Milliseconds = 200;

/** Ticks for which the coordinator of a team that it first hears of waits for the reports of others. */
const settleTicks = 2;
/** Ticks within which a demand has been reported, divided and granted, or will not be. */
const waitTicks = 5;
/** Ticks for which a shortage counts as known. */
const shortTicks = 25;
/** Ticks after which unchanged figures are restated. */
const restateTicks = 10;

/** Tasks that wait for the answer to a first report of their demand. */
type WaitingTake = {
	readonly tasks: number;
	/** Tick at which they are refused. */
	readonly until: number;
	readonly done: (isTaken: boolean) => void;
};

type OwnShare = {
	used: number;
	refused: number;
	readonly waiting: WaitingTake[];
	/** Tick up to which a shortage counts as known, so that nothing waits. */
	shortUntil: number;
	claim: number;
	granted: number | undefined;
	grantSeq: number;
	sent?: ShareReport;
	sentTo?: string;
	sentAt: number;
};

/** Reports and grants of one tick, by the entry that they go to. */
type DueNews = Map<string, {readonly reports: ShareReport[]; readonly grants: ShareGrant[]}>;

type Coordinated = {
	readonly since: number;
	readonly entries: Map<string, ReportedShare>;
};

/** Creates the shares of an entry that has none yet. */
export function createQuotaShares(host: QuotaSharesHost): QuotaShares {
	const own = new Map<string, OwnShare>();
	const coordinated = new Map<string, Coordinated>();
	/** The set of live entries under which the full reports of an entry have arrived. */
	const fullFrom = new Map<string, string>();
	/** The set of live entries for which an entry has divided all teams that it coordinates. */
	const dividedBy = new Map<string, string>();
	/** Entries that were told that this one has divided all its teams for the present set. */
	const dividedTo = new Set<string>();
	/** Entries that have our full reports on the present stream. */
	const fullTo = new Set<string>();
	let liveKey = '';
	let live: readonly string[] = [host.self];
	let coordinators = new Map<string, string>();
	let ticks = 0;
	/** Tick at which the full reports of all live entries were there. */
	let heardAt: number | undefined;

	return {
		acquire(team, tasks, done) {
			const share = getOwn(team);
			if (tryTake(team, share, tasks)) {
				done(true);
				return;
			}

			share.refused += tasks;
			if (ticks < share.shortUntil || tasks > host.getLimit(team)) {
				done(false);
				return;
			}

			share.waiting.push({tasks, until: ticks + waitTicks, done});
		},
		release(team, tasks) {
			getOwn(team).used -= tasks;
		},
		receive,
		resynchronize(entry) {
			fullTo.delete(entry);
			dividedTo.delete(entry);
		},
		tick,
		getShare: team => getClaim(team, getOwn(team)),
	};

	function getOwn(team: string): OwnShare {
		let share = own.get(team);
		if (share === undefined) {
			share = {
				used: 0, refused: 0, waiting: [], shortUntil: 0, claim: 0, granted: undefined, grantSeq: 0, sentAt: 0,
			};
			own.set(team, share);
		}

		return share;
	}

	function serveWaiting(team: string, share: OwnShare): void {
		while (share.waiting[0] !== undefined && tryTake(team, share, share.waiting[0].tasks)) {
			share.waiting.shift()!.done(true);
		}
	}

	// The coordinator has heard of the demand by now and found no more quota; for a while others need not wait.
	function refuseOverdue(team: string, share: OwnShare): void {
		serveWaiting(team, share);
		if (share.granted !== undefined || isCoordinatorKnown(team)) {
			while (share.waiting[0] !== undefined && share.waiting[0].until <= ticks) {
				share.shortUntil = ticks + shortTicks;
				share.waiting.shift()!.done(false);
			}
		}

		for (const {tasks} of share.waiting) {
			share.refused += tasks;
		}
	}

	// A team that its coordinator knows has a grant for every live entry. Without one the team was idle, and the
	// quota may be used at once, split evenly.
	function getClaim(team: string, share: OwnShare): number {
		if (share.granted === undefined && share.claim === 0 && isCoordinatorKnown(team)) {
			share.claim = Math.floor(host.getLimit(team) / live.length);
		}

		return share.claim;
	}

	function isCoordinatorKnown(team: string): boolean {
		return dividedBy.get(getCoordinator(team)) === liveKey;
	}

	function getCoordinator(team: string): string {
		let coordinator = coordinators.get(team);
		if (coordinator === undefined) {
			coordinator = chooseByRendezvousHash(team, live);
			coordinators.set(team, coordinator);
		}

		return coordinator;
	}

	function tryTake(team: string, share: OwnShare, tasks: number): boolean {
		if (share.used + tasks > getClaim(team, share)) {
			return false;
		}

		share.used += tasks;
		return true;
	}

	function tick(): void {
		ticks++;
		updateLive();
		for (const [team, share] of own) {
			refuseOverdue(team, share);
		}

		shrinkClaims();
		const news: DueNews = new Map();
		collectReports(news);
		for (const [team, state] of coordinated) {
			divide(team, state, news);
		}

		noteDivision();
		for (const entry of live) {
			const fullFor = entry === host.self || fullTo.has(entry) ? '' : liveKey;
			const dividedFor = isDivided() && !dividedTo.has(entry) ? liveKey : '';
			const {reports, grants} = news.get(entry) ?? {reports: [], grants: []};
			if (fullFor !== '' || dividedFor !== '' || reports.length > 0 || grants.length > 0) {
				deliver(entry, {
					reports, grants, fullFor, dividedFor,
				});
			}
		}
	}

	// Every team named in the full reports is divided some ticks after the last of these has arrived.
	function noteDivision(): void {
		if (!isHeard()) {
			heardAt = undefined;
		}

		heardAt ??= isHeard() ? ticks : undefined;
	}

	function isDivided(): boolean {
		return heardAt !== undefined && ticks - heardAt > settleTicks;
	}

	function isHeard(): boolean {
		return live.every(entry => entry === host.self || fullFrom.get(entry) === liveKey);
	}

	function deliver(entry: string, news: ShareNews): void {
		fullTo.add(entry);
		if (news.dividedFor !== '') {
			dividedTo.add(entry);
		}

		if (entry === host.self) {
			receive(entry, news);
		} else {
			host.send(entry, news);
		}
	}

	// Another set of live entries means other coordinators: everything is told anew.
	function updateLive(): void {
		const present = host.getLiveEntries().toSorted();
		const key = createHash('sha1').update(present.join(' ')).digest('base64');
		if (key === liveKey) {
			return;
		}

		liveKey = key;
		live = present;
		coordinators = new Map();
		fullTo.clear();
		dividedTo.clear();
		heardAt = undefined;
		const known = new Set(present);
		for (const [team, state] of coordinated) {
			for (const entry of state.entries.keys()) {
				if (!known.has(entry)) {
					state.entries.delete(entry);
				}
			}

			if (getCoordinator(team) !== host.self) {
				coordinated.delete(team);
			}
		}
	}

	function shrinkClaims(): void {
		for (const share of own.values()) {
			if (share.granted !== undefined && share.claim > share.granted) {
				share.claim = Math.max(share.granted, share.used);
			}
		}
	}

	function collectReports(news: DueNews): void {
		for (const [team, share] of own) {
			const coordinator = getCoordinator(team);
			const report: ShareReport = {
				team, used: share.used, demand: share.used + share.refused, claim: share.claim, grantSeq: share.grantSeq,
			};
			share.refused = 0;
			const isDue = share.sentTo !== coordinator || !fullTo.has(coordinator) || ticks - share.sentAt >= restateTicks;
			if (isDue || share.sent === undefined || !isSameReport(report, share.sent)) {
				getNews(news, coordinator).reports.push(report);
				share.sent = report;
				share.sentTo = coordinator;
				share.sentAt = ticks;
			}
		}
	}

	function receive(entry: string, news: ShareNews): void {
		if (news.fullFor !== '') {
			fullFrom.set(entry, news.fullFor);
		}

		if (news.dividedFor !== '') {
			dividedBy.set(entry, news.dividedFor);
		}

		for (const report of news.reports) {
			acceptReport(entry, report);
		}

		for (const grant of news.grants) {
			acceptGrant(entry, grant);
		}
	}

	function acceptReport(entry: string, report: ShareReport): void {
		if (getCoordinator(report.team) !== host.self) {
			return;
		}

		const state: Coordinated = coordinated.get(report.team) ?? {since: ticks, entries: new Map()};
		coordinated.set(report.team, state);
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

		const share = getOwn(grant.team);
		share.granted = grant.share;
		share.grantSeq = grant.seq;
		share.claim = Math.max(grant.share, Math.min(share.claim, share.used));
		serveWaiting(grant.team, share);
	}

	function divide(team: string, state: Coordinated, news: DueNews): void {
		if (!isHeard() || ticks - state.since < settleTicks) {
			return;
		}

		for (const entry of live) {
			if (!state.entries.has(entry)) {
				state.entries.set(entry, {report: createIdleReport(team), grantedAtTick: 0});
			}
		}

		const limit = host.getLimit(team);
		const portions = divideQuota(state.entries, limit);
		for (const [entry, share] of state.entries) {
			const grant = tryGetGrant(team, share, portions.get(entry)!, limit);
			if (grant !== undefined) {
				getNews(news, entry).grants.push(grant);
			}
		}
	}

	/** The grant to send now: a new one, or the last one again if it seems lost. */
	function tryGetGrant(team: string, share: ReportedShare, granted: number, limit: number): ShareGrant | undefined {
		const isLost = isGrantUnapplied(share) && ticks - share.grantedAtTick >= restateTicks;
		if (isGrantDue(granted, share, limit)) {
			share.grant = {team, share: granted, seq: getNextGrantSeq(share)};
		} else if (!isLost) {
			return undefined;
		}

		share.grantedAtTick = ticks;
		return share.grant;
	}
}

function getNews(news: DueNews, entry: string): {readonly reports: ShareReport[]; readonly grants: ShareGrant[]} {
	let due = news.get(entry);
	if (due === undefined) {
		due = {reports: [], grants: []};
		news.set(entry, due);
	}

	return due;
}
