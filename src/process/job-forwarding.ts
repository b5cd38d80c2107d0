/**
 * Forwards jobs of this entry's clients to entries with processor time to spare, and serves those that others forward.
 */
import type {PeerHub} from '../connection/peer-hub.js';
import type {Cancellation, PendingRequest, RelayResult} from '../connection/peer-types.js';
import {
	ForwardedJob, type PeerLoad, type RelayReply, type RelayRequest,
} from '../generated/kingcuplane.js';
import {
	acceptsForwardedJob, createRefusalControls, decideByLoad, type LoadDecision,
} from '../request/load-sharing.js';
import type {Milliseconds} from './clock.js';
import type {EntryHost} from './entry-types.js';
import {idleLink, type LinkLoad} from './link-budget.js';

/** Dependencies of the forwarding. */
export type JobForwardingHost = Pick<EntryHost, 'log' | 'metrics' | 'clock' | 'random' | 'loadMonitor' | 'linkBudget' | 'serveForwardedJob'> & {
	readonly peers: Pick<PeerHub, 'tryStartRequest' | 'getLoadReports'>;
	/** Whether this entry has a configuration and agents, and was not asked to stop. */
	isServing(): boolean;
	/**
	 * Whether starts are held after a pause of this process. A job whose client may have gone must not be forwarded then. One whose
	 * sender may have given it up is declined, so that only a sender that still waits serves it.
	 */
	areStartsHeld(): boolean;
};

/** The forwarding of one entry. */
export type JobForwarding = {
	/** Decides where a new job of a client goes. */
	decide(): LoadDecision;
	/** Forwards a job; undefined if it has to be served here after all. */
	tryForward(peer: string, name: string, job: ForwardedJob): PendingRequest | undefined;
	/** Serves or declines a job that another entry has forwarded. */
	serve(req: RelayRequest, cancellation: Cancellation): Promise<RelayResult>;
	/** Declines a job that was forwarded and is not sent yet, if its client may have gone since; undefined if it may be sent. */
	tryAnswerUnsent(req: RelayRequest): RelayResult | undefined;
	/** Returns the load that is reported to peers; undefined if it is not measured. */
	tryGetLoad(): PeerLoad | undefined;
	/** Returns what became of jobs of clients and of other entries since the start of this process, for the log. */
	getCounts(): ForwardingCounts;
	/** Returns what decides about new jobs now, for the log. */
	describeState(): ForwardingState;
};

/** Numbers of jobs since the start of a process. */
export type ForwardingCounts = {
	readonly refusedBusy: number;
	readonly forwarded: number;
	readonly forwardsAnswered: number;
	readonly forwardsDeclined: number;
	readonly forwardsCancelled: number;
	readonly forwardsLost: number;
	readonly servedForOthers: number;
	readonly declinedForOthers: number;
};

/** What decides about new jobs. */
export type ForwardingState = {
	/** Shares of the jobs that are refused if no other entry can take them, and although others can. */
	readonly refusedShare?: number;
	readonly unforwardedShare?: number;
	/** Number of linked entries, and of those that accept jobs. */
	readonly peers: number;
	readonly acceptingPeers: number;
};

/** Operation of a request between entries that carries a job. */
export const jobOperation = 'job';
/** Longest time allowed for a job, and that of a job whose client states none. */
const maxTimeoutMs: Milliseconds = 3_600_000;
const defaultTimeoutMs: Milliseconds = 60_000;
/** Reply to a job that this entry does not serve and that its sender may serve itself. */
export const declinedResult: RelayResult = {
	status: 503, body: new Uint8Array(), retryAfterMs: 0, declined: true,
};

/** Creates the forwarding of an entry. */
export function createJobForwarding(host: JobForwardingHost): JobForwarding {
	const {log, metrics, clock, loadMonitor, peers} = host;
	const refusals = createRefusalControls();
	loadMonitor?.onSample(load => {
		refusals.update(load, peers.getLoadReports());
	});
	const counts = {
		refusedBusy: 0, forwarded: 0, forwardsAnswered: 0, forwardsDeclined: 0, forwardsCancelled: 0, forwardsLost: 0, servedForOthers: 0, declinedForOthers: 0,
	};

	return {
		decide() {
			if (loadMonitor === undefined || !host.isServing()) {
				return {kind: 'serve'};
			}

			const process = loadMonitor.getLoad();
			const decision = decideByLoad({process, link: getLinkLoad(), ...refusals.getShares(process)}, peers.getLoadReports(), host.random);
			counts.refusedBusy += decision.kind === 'refuse' ? 1 : 0;
			return decision;
		},
		tryForward,
		async serve(req, cancellation) {
			const job = acceptsJobs() && !host.areStartsHeld() ? tryDecode(req) : undefined;
			const result = job === undefined ? declinedResult : await host.serveForwardedJob!(job, cancellation);
			counts[result.declined ? 'declinedForOthers' : 'servedForOthers']++;
			metrics.count('job.received', 1, {outcome: result.declined ? 'declined' : 'served'});
			return result;
		},
		tryAnswerUnsent: req => req.operation === jobOperation && host.areStartsHeld() ? declinedResult : undefined,
		tryGetLoad: () => loadMonitor && {
			utilizationPerMille: Math.round(loadMonitor.getLoad().utilization * 1000),
			acceptsJobs: acceptsJobs(),
			linkUtilizationPerMille: Math.round(getLinkLoad().utilization * 1000),
			processorPerMille: Math.round((loadMonitor.tryGetProcessorShare?.() ?? 0) * 1000),
		},
		getCounts: () => ({...counts}),
		describeState() {
			const reports = peers.getLoadReports();
			return {
				...loadMonitor && refusals.getShares(loadMonitor.getLoad()),
				peers: reports.length,
				acceptingPeers: reports.filter(report => report.acceptsJobs).length,
			};
		},
	};

	// A job that cannot be read here may be served by its sender.
	function tryDecode({id, body}: RelayRequest): ForwardedJob | undefined {
		try {
			return ForwardedJob.decode(body);
		} catch (err) {
			log.warn({err, id}, 'forwarded job declined, since it cannot be read');
			return undefined;
		}
	}

	function acceptsJobs(): boolean {
		return loadMonitor !== undefined && host.serveForwardedJob !== undefined && host.isServing() && acceptsForwardedJob({process: loadMonitor.getLoad(), link: getLinkLoad()});
	}

	function getLinkLoad(): LinkLoad {
		return host.linkBudget?.getLoad() ?? idleLink;
	}

	function tryForward(peer: string, name: string, job: ForwardedJob): PendingRequest | undefined {
		const pending = host.areStartsHeld()
			? undefined
			: peers.tryStartRequest(peer, {
				operation: jobOperation, ticket: '', principal: '', body: ForwardedJob.encode(job).finish(), timeoutMs: toTimeout(job.timeLeftMs),
			});
		if (pending === undefined) {
			return undefined;
		}

		counts.forwarded++;
		const forwardedAt = clock.now();
		let isCancelled = false;
		log.info({
			request: name, peer, ...loadMonitor?.getLoad(), link: getLinkLoad().sendUtilization,
		}, 'job forwarded');
		return {
			cancel() {
				isCancelled = true;
				pending.cancel();
			},
			reply: pending.reply.then(reply => {
				const outcome = reply === undefined && isCancelled ? 'cancelled' : describeOutcome(reply);
				log.info({
					request: name, peer, outcome, status: reply?.status, elapsed: Math.round(clock.now() - forwardedAt),
				}, 'forwarded job ended');
				counts[forwardCounts[outcome]]++;
				metrics.count('job.forwarded', 1, {outcome});
				return reply;
			}),
		};
	}
}

type ForwardOutcome = 'lost' | 'declined' | 'answered' | 'cancelled';

/** Name of the count of each outcome. */
const forwardCounts = {
	lost: 'forwardsLost', declined: 'forwardsDeclined', answered: 'forwardsAnswered', cancelled: 'forwardsCancelled',
} as const satisfies Readonly<Record<ForwardOutcome, keyof ForwardingCounts>>;

function describeOutcome(reply: RelayReply | undefined): Exclude<ForwardOutcome, 'cancelled'> {
	if (reply === undefined) {
		return 'lost';
	}

	return reply.declined ? 'declined' : 'answered';
}

/** Returns the time allowed for a reply; clients state theirs as they like, and a message carries whole milliseconds. */
function toTimeout(timeLeft: Milliseconds): Milliseconds {
	return timeLeft > 0 ? Math.ceil(Math.min(timeLeft, maxTimeoutMs)) : defaultTimeoutMs;
}
