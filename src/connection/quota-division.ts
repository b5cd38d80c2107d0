/**
 * Divides the quota of one team among entries, from what they report. Pure: the exchange is in quota-shares.ts.
 */

/** What one entry tells the coordinator of a team. Restated, so that a lost report does no harm. */
export type ShareReport = {
	readonly team: string;
	/** Tasks waiting or running. */
	readonly used: number;
	/** Used and refused tasks: what the entry could use now. */
	readonly demand: number;
	/** The share that the entry counts as its own. */
	readonly claim: number;
	/** Number of the last grant applied; 0 if none was. */
	readonly grantSeq: number;
};

/** What the coordinator grants to one entry. */
export type ShareGrant = {
	readonly team: string;
	readonly share: number;
	/** Grows with each grant for this team and entry. */
	readonly seq: number;
};

/** What the coordinator of a team knows of one entry. */
export type ReportedShare = {
	report: ShareReport;
	grant?: ShareGrant;
	/** Tick at which the grant was last sent. */
	grantedAtTick: number;
};

/** Corrections of less than this part of the quota are not sent. */
const smallCorrection = 0.05;

/** The part of each entry: what it has or less, or more from what all others have given up. */
export function divideQuota(entries: ReadonlyMap<string, ReportedShare>, limit: number): ReadonlyMap<string, number> {
	const targets = getTargets(entries, limit);
	const missing = getMissing(entries, targets);
	const share = missing <= 0 ? 0 : Math.min(1, Math.max(0, getFree(entries, limit)) / missing);
	const portions = new Map<string, number>();
	for (const [entry, reported] of entries) {
		const accounted = getAccounted(reported);
		const target = targets.get(entry)!;
		portions.set(entry, target > accounted ? Math.floor(accounted + (share * (target - accounted))) : target);
	}

	return portions;
}

/** Whether a part is to be granted now: small corrections wait, so that a steady team costs no messages. */
export function isGrantDue(granted: number, {report, grant}: ReportedShare, limit: number): boolean {
	const present = grant?.share ?? report.claim;
	const isShort = report.demand > present && granted > present;
	return isShort || grant === undefined || Math.abs(granted - present) > limit * smallCorrection;
}

/** Whether the entry has not applied the newest grant, as far as it has told. */
export function isGrantUnapplied({report, grant}: ReportedShare): boolean {
	return grant !== undefined && report.grantSeq < grant.seq;
}

// Until the entry has applied the newest grant, both its claim and the grant may be in force.
function getAccounted(reported: ReportedShare): number {
	const {report, grant} = reported;
	return grant !== undefined && isGrantUnapplied(reported) ? Math.max(grant.share, report.claim) : report.claim;
}

/** Number of the next grant to the entry. */
export function getNextGrantSeq({report, grant}: ReportedShare): number {
	return Math.max(report.grantSeq, grant?.seq ?? 0) + 1;
}

// Everybody gets what it can use and an equal part of the rest; if the quota is short, a part by demand.
function getTargets(entries: ReadonlyMap<string, ReportedShare>, limit: number): ReadonlyMap<string, number> {
	let demand = 0;
	for (const {report} of entries.values()) {
		demand += report.demand;
	}

	const rest = (limit - demand) / entries.size;
	const targets = new Map<string, number>();
	for (const [entry, {report}] of entries) {
		targets.set(entry, Math.floor(rest >= 0 ? report.demand + rest : limit * report.demand / demand));
	}

	return targets;
}

function getFree(entries: ReadonlyMap<string, ReportedShare>, limit: number): number {
	let free = limit;
	for (const reported of entries.values()) {
		free -= getAccounted(reported);
	}

	return free;
}

function getMissing(entries: ReadonlyMap<string, ReportedShare>, targets: ReadonlyMap<string, number>): number {
	let missing = 0;
	for (const [entry, share] of entries) {
		missing += Math.max(0, targets.get(entry)! - getAccounted(share));
	}

	return missing;
}

/** Stands for an entry that has reported nothing of a team. */
export function createIdleReport(team: string): ShareReport {
	return {
		team, used: 0, demand: 0, claim: 0, grantSeq: 0,
	};
}

/** Whether two reports tell the same. */
export function isSameReport(a: ShareReport, b: ShareReport): boolean {
	return a.used === b.used && a.demand === b.demand && a.claim === b.claim && a.grantSeq === b.grantSeq;
}
