/**
 * Estimates how full the network link of this process is, from the bytes that its connections have moved and the bandwidth in the
 * settings. What waits in the buffers of the system cannot be seen; it follows from what was sent and what the link carries.
 */
import {every, type Clock, type Milliseconds} from './clock.js';
import type {SocketTraffic} from './socket-traffic.js';

/** Dependencies of a budget. */
export type LinkBudgetHost = {
	readonly clock: Clock;
	readonly traffic: Pick<SocketTraffic, 'getCounts'>;
	/** Bandwidth of the link in each direction, in megabits per second. */
	readonly linkMbps: number;
};

/** How full a link is. */
export type LinkLoad = {
	/** Share of the bandwidth that was used recently in the fuller direction, from 0 to 1. */
	readonly utilization: number;
	/** The same share of the outgoing direction alone, on which this process decides. */
	readonly sendUtilization: number;
	/** Time until the link has carried what was sent. */
	readonly backlog: Milliseconds;
};

/** The use of one link. */
export type LinkBudget = {
	getLoad(): LinkLoad;
	/** Whether the link is used so much that processor time should be spent to send less. */
	isBusy(): boolean;
	/** Counts bytes that are about to be sent, before the connections have them. */
	plan(bytes: number): void;
	stop(): void;
};

/** The load of a link that is not limited. */
export const idleLink: LinkLoad = {utilization: 0, sendUtilization: 0, backlog: 0};

const sampleIntervalMs: Milliseconds = 25;
/** Time over which the utilization is averaged: a full link has to be seen before a queue of half a second has formed. */
const averagingMs: Milliseconds = 250;
/** Share of the bandwidth in use from which messages wait for each other noticeably. */
const busyFrom = 0.3;
/** Bandwidth from which a link is never full before the processor is, so that it is not watched. */
const wideLinkMbps = 500;
/** Headers of packets and acknowledgements that the link carries beside the bytes of the connections. */
const overheadFactor = 1.05;
const bitsPerByte = 8;
const bitsPerMegabit = 1_000_000;
const msPerSecond: Milliseconds = 1000;

/** Creates the budget of a link; undefined if the link is wide or has no limit. */
export function tryCreateLinkBudget(host: Omit<LinkBudgetHost, 'linkMbps'> & {readonly linkMbps: number | undefined}): LinkBudget | undefined {
	const {linkMbps} = host;
	return linkMbps === undefined || linkMbps >= wideLinkMbps ? undefined : createLinkBudget({...host, linkMbps});
}

/** Creates the budget of a link. */
export function createLinkBudget({clock, traffic, linkMbps}: LinkBudgetHost): LinkBudget {
	const bytesPerMs = linkMbps * bitsPerMegabit / bitsPerByte / msPerSecond;
	let sampledAt = clock.now();
	let last = getTotals(traffic);
	const shares = {received: 0, sent: 0};
	/** Bytes that the link had not carried at the last sample. */
	let backlogBytes = 0;
	let plannedBytes = 0;
	const timer = every(clock, sampleIntervalMs, sample);

	return {
		getLoad() {
			const carried = (clock.now() - sampledAt) * bytesPerMs;
			return {
				utilization: Math.min(1, Math.max(shares.received, shares.sent)),
				sendUtilization: Math.min(1, shares.sent),
				backlog: Math.max(0, backlogBytes + plannedBytes - carried) / bytesPerMs,
			};
		},
		isBusy: () => shares.sent > busyFrom,
		plan(bytes) {
			plannedBytes += bytes * overheadFactor;
		},
		stop() {
			timer.cancel();
		},
	};

	function sample(): void {
		const now = clock.now();
		const elapsed = now - sampledAt;
		if (elapsed <= 0) {
			return;
		}

		const totals = getTotals(traffic);
		const received = (totals.received - last.received) * overheadFactor;
		const sent = (totals.sent - last.sent) * overheadFactor;
		const weight = 1 - Math.exp(-elapsed / averagingMs);
		shares.received += weight * ((received / elapsed / bytesPerMs) - shares.received);
		shares.sent += weight * ((sent / elapsed / bytesPerMs) - shares.sent);
		backlogBytes = Math.max(0, backlogBytes + sent - (elapsed * bytesPerMs));
		plannedBytes = 0;
		last = totals;
		sampledAt = now;
	}
}

function getTotals(traffic: LinkBudgetHost['traffic']): {readonly received: number; readonly sent: number} {
	let [received, sent] = [0, 0];
	for (const count of traffic.getCounts().values()) {
		received += count.received;
		sent += count.sent;
	}

	return {received, sent};
}
