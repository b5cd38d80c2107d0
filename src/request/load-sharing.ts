/**
 * Decides which entry coordinates a new job, for clients that are connected to entries without regard to their processors: some
 * entries get several times the work of others. A busy entry forwards jobs to entries with processor time to spare. If there
 * is none, or if it gets more than it can forward, it refuses at once what it could only answer late, so that what it accepts is
 * answered in time.
 */
import type {PeerLoadReport} from '../connection/peer-types.js';
import type {Milliseconds} from '../process/clock.js';
import type {LinkLoad} from '../process/link-budget.js';
import type {ProcessLoad} from '../process/load-monitor.js';

/** Where a new job goes. */
export type LoadDecision =
	| {readonly kind: 'serve'}
	| {readonly kind: 'forward'; readonly peer: PeerLoadReport}
	| {readonly kind: 'refuse'; readonly retryAfter: Milliseconds};

/** How busy an entry is that decides about a job. */
export type OwnLoad = {
	readonly process: ProcessLoad;
	readonly link: LinkLoad;
	/** Share of the jobs to refuse, because the event loop is late, if no other entry can take them. */
	readonly refusedShare: number;
	/** Share of the jobs to refuse, because the event loop is late, instead of forwarding them. */
	readonly unforwardedShare: number;
};

/** Utilization from which a part of the jobs is forwarded, and from which all are. */
const forwardFrom = 0.6;
const forwardAllFrom = 0.9;
/** Utilization up to which an entry is expected to have processor time to spare for jobs of others. */
const spareLimit = 0.65;
/** Utilization from which an entry declines the jobs of others. Above {@link spareLimit}, as reports are up to a second old. */
const declineFrom = 0.8;
/**
 * Utilization of the outgoing link from which a part of the jobs is forwarded, and from which all are. A forwarded job crosses the link
 * too, though only once, so a link is filled further than a processor before others are asked.
 */
const forwardByLinkFrom = 0.75;
const forwardAllByLinkFrom = 0.95;
/**
 * Utilization of the outgoing link from which jobs are refused that no other entry can take. The refused share grows in proportion, so
 * that the link settles where it carries what was accepted.
 */
const refuseByLinkFrom = 0.88;
/** Utilization of its link up to which an entry is expected to have bandwidth to spare for jobs of others, and from which it declines them. */
const linkSpareLimit = 0.6;
const linkDeclineFrom = 0.75;
/**
 * Delay of the event loop from which it counts as late. A job waits for it about four times: with its request, its starts, its
 * results and its response. The shortest objectives leave some hundred milliseconds for all of them.
 */
const lateDelayMs: Milliseconds = 25;
/** Delay at which that share is refused: three times the shortest objectives would pass before an answer. */
const maxDelayMs: Milliseconds = 250;
/** Largest share of the jobs that is refused. The others show when the overload is over. */
const maxRefusedShare = 0.98;
/** Changes of the refused share at each sample of the load. */
const refusedShareIncrease = 0.09;
const refusedShareDecrease = 0.02;
/** Multiple of {@link lateDelayMs} up to which a longer delay increases the refused share faster. */
const maxLateFactor = 3;
const overloadRetryMs: Milliseconds = 1000;

/** Controls which share of the jobs an entry refuses, so that its event loop is not late. */
export type RefusalControl = {
	/** To be called with each sample of the load, whose delay is that since the last sample. */
	update(load: ProcessLoad): void;
	/** Returns the share of the jobs to refuse at the present load, from 0 to 1, if no other entry can take them. */
	getShare(load: ProcessLoad): number;
};

/** Creates a control that refuses nothing. */
export function createRefusalControl(): RefusalControl {
	let share = 0;

	return {
		update({utilization, delay}) {
			// A delay without a lasting load comes from a single long turn, and refusing new jobs would not shorten it.
			const isLate = delay > lateDelayMs && utilization > forwardAllFrom;
			const change = isLate ? refusedShareIncrease * Math.min(maxLateFactor, (delay / lateDelayMs) - 1) : -refusedShareDecrease;
			share = Math.min(maxRefusedShare, Math.max(0, share + change));
		},
		getShare: load => Math.max(share, getShareAtOnce(load)),
	};
}

/** Controls which share of the jobs an entry refuses, both while other entries can take them and while none can. */
export type RefusalControls = {
	/** To be called with each sample of the load, whose delay is that since the last sample. */
	update(load: ProcessLoad, peers: readonly PeerLoadReport[]): void;
	getShares(load: ProcessLoad): Pick<OwnLoad, 'refusedShare' | 'unforwardedShare'>;
};

/** Creates controls that refuse nothing. Only the one whose refusals have an effect learns from a delay. */
export function createRefusalControls(): RefusalControls {
	const serving = createRefusalControl();
	const forwarding = createRefusalControl();

	return {
		update(load, peers) {
			const isForwarding = peers.some(peer => hasTimeToSpare(peer));
			serving.update(isForwarding ? {...load, delay: 0} : load);
			forwarding.update(isForwarding ? load : {...load, delay: 0});
		},
		getShares: load => ({refusedShare: serving.getShare(load), unforwardedShare: forwarding.getShare(load)}),
	};
}

/**
 * Returns the share of the jobs to refuse because of the present delay alone, since samples are late, too. A process with time to
 * spare has stood still, and is not late any more while the average delay still says so.
 */
function getShareAtOnce({utilization, delay}: ProcessLoad): number {
	return utilization < forwardFrom ? 0 : Math.min(maxRefusedShare, (delay - lateDelayMs) / (maxDelayMs - lateDelayMs));
}

/** Decides where a new job of a client goes; `random` returns a number in [0, 1). */
export function decideByLoad({
	process, link, refusedShare, unforwardedShare,
}: OwnLoad, peers: readonly PeerLoadReport[], random: () => number): LoadDecision {
	const linkShare = clampShare((link.sendUtilization - forwardByLinkFrom) / (forwardAllByLinkFrom - forwardByLinkFrom));
	const processShare = getForwardedShare(process);
	const position = random();
	if (position >= Math.max(processShare, linkShare)) {
		return {kind: 'serve'};
	}

	const peer = choosePeer(peers, random);
	if (peer !== undefined) {
		return position < processShare && random() < unforwardedShare ? {kind: 'refuse', retryAfter: overloadRetryMs} : {kind: 'forward', peer};
	}

	const refusedByProcess = position < processShare ? refusedShare : 0;
	const refusedByLink = Math.min(maxRefusedShare, (link.sendUtilization - refuseByLinkFrom) / (1 - refuseByLinkFrom));
	return random() < Math.max(refusedByProcess, refusedByLink) ? {kind: 'refuse', retryAfter: overloadRetryMs} : {kind: 'serve'};
}

/** Whether an entry serves a job that another entry has forwarded. */
export function acceptsForwardedJob({process, link}: Pick<OwnLoad, 'process' | 'link'>): boolean {
	return process.utilization < declineFrom && process.delay < lateDelayMs && link.utilization < linkDeclineFrom;
}

function getForwardedShare({utilization, delay}: ProcessLoad): number {
	return delay >= lateDelayMs ? 1 : clampShare((utilization - forwardFrom) / (forwardAllFrom - forwardFrom));
}

/** Chooses a peer at random, by its processor time to spare, so that entries that choose at the same time choose different ones. */
function choosePeer(peers: readonly PeerLoadReport[], random: () => number): PeerLoadReport | undefined {
	const usable = peers.filter(peer => hasTimeToSpare(peer));
	const total = usable.reduce((sum, peer) => sum + getSpareTime(peer), 0);
	let position = random() * total;
	return usable.find(peer => {
		position -= getSpareTime(peer);
		return position < 0;
	});
}

function getSpareTime({utilization, processorShare}: PeerLoadReport): number {
	return (spareLimit - utilization) * processorShare;
}

function hasTimeToSpare({acceptsJobs, utilization, linkUtilization}: PeerLoadReport): boolean {
	return acceptsJobs && utilization < spareLimit && linkUtilization < linkSpareLimit;
}

function clampShare(share: number): number {
	return Math.min(1, Math.max(0, share));
}
