/**
 * Divides the quota of one team among entries, based on their reports. Pure functions; quota-shares.ts exchanges the
 * messages.
 */

/** Report of one entry to the quota coordinator of a team. It is sent repeatedly, so a lost report does no harm. */
export type ShareReport = {
	readonly team: string;
	/** Number of tasks waiting or running. */
	readonly used: number;
	/** Number of tasks that are waiting, running or refused since the last report: the quota that the entry could use now. */
	readonly demand: number;
	/** Share that the entry counts as its own. */
	readonly claim: number;
	/** Sequence number of the last applied grant; 0 if none was applied. */
	readonly grantSeq: number;
};

/** Share that the quota coordinator grants to one entry. */
export type ShareGrant = {
	readonly team: string;
	readonly share: number;
	/** Sequence number, which grows with each grant for this team and entry. */
	readonly seq: number;
};

/** State of one entry at the quota coordinator of a team. */
export type ReportedShare = {
	report: ShareReport;
	grant?: ShareGrant;
	/** Tick at which the grant was last sent. */
	grantedAtTick: number;
};

/** Corrections of less than this share of the quota are not sent. */
const minCorrectionShare = 0.05;

/**
 * Returns the new share of each entry. An entry that has less than its target gets more only from quota that is not
 * accounted to any entry; all other entries get their target.
 */
export function divideQuota(entries: ReadonlyMap<string, ReportedShare>, limit: number): ReadonlyMap<string, number> {
	const targets = getTargets(entries, limit);
	const shortfall = getShortfall(entries, targets);
	const fillRatio = shortfall <= 0 ? 0 : Math.min(1, Math.max(0, getFreeQuota(entries, limit)) / shortfall);
	const shares = new Map<string, number>();
	for (const [entry, reported] of entries) {
		const accountedShare = getAccountedShare(reported);
		const target = targets.get(entry)!;
		shares.set(entry, target > accountedShare ? Math.floor(accountedShare + (fillRatio * (target - accountedShare))) : target);
	}

	return shares;
}

/** Whether to grant a new share now. Small corrections are skipped, so that a team with steady load causes no messages. */
export function isGrantDue(newShare: number, {report, grant}: ReportedShare, limit: number): boolean {
	const currentShare = grant?.share ?? report.claim;
	const isShort = report.demand > currentShare && newShare > currentShare;
	return isShort || grant === undefined || Math.abs(newShare - currentShare) > limit * minCorrectionShare;
}

/** Whether the entry has not reported the newest grant as applied. */
export function isGrantUnapplied({report, grant}: ReportedShare): boolean {
	return grant !== undefined && report.grantSeq < grant.seq;
}

// Until the entry has applied the newest grant, either its claim or the grant may be active.
function getAccountedShare(reported: ReportedShare): number {
	const {report, grant} = reported;
	return grant !== undefined && isGrantUnapplied(reported) ? Math.max(grant.share, report.claim) : report.claim;
}

/** Returns the sequence number of the next grant to the entry. */
export function getNextGrantSeq({report, grant}: ReportedShare): number {
	return Math.max(report.grantSeq, grant?.seq ?? 0) + 1;
}

// Each entry gets its demand and an equal share of the surplus. If the quota is short, it is divided in proportion to the
// demand.
function getTargets(entries: ReadonlyMap<string, ReportedShare>, limit: number): ReadonlyMap<string, number> {
	let demand = 0;
	for (const {report} of entries.values()) {
		demand += report.demand;
	}

	const surplusPerEntry = (limit - demand) / entries.size;
	const targets = new Map<string, number>();
	for (const [entry, {report}] of entries) {
		targets.set(entry, Math.floor(surplusPerEntry >= 0 ? report.demand + surplusPerEntry : limit * report.demand / demand));
	}

	return targets;
}

function getFreeQuota(entries: ReadonlyMap<string, ReportedShare>, limit: number): number {
	let free = limit;
	for (const reported of entries.values()) {
		free -= getAccountedShare(reported);
	}

	return free;
}

function getShortfall(entries: ReadonlyMap<string, ReportedShare>, targets: ReadonlyMap<string, number>): number {
	let shortfall = 0;
	for (const [entry, share] of entries) {
		shortfall += Math.max(0, targets.get(entry)! - getAccountedShare(share));
	}

	return shortfall;
}

/** Creates the report that is assumed for an entry that has reported nothing about a team. */
export function createIdleReport(team: string): ShareReport {
	return {
		team, used: 0, demand: 0, claim: 0, grantSeq: 0,
	};
}

/** Whether two reports of the same team are equal. */
export function isSameReport(a: ShareReport, b: ShareReport): boolean {
	return a.used === b.used && a.demand === b.demand && a.claim === b.claim && a.grantSeq === b.grantSeq;
}
