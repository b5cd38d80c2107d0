/**
 * Cancels a job wherever it is. Its client may reach any entry, and the job may be at another one, or at several if the client has
 * sent it again. Each entry remembers the name, so that a request for the job that arrives later is not served.
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {PeerHub} from '../connection/peer-hub.js';
import type {RelayResult} from '../connection/peer-types.js';
import type {EntryAddress, RelayReply, RelayRequest} from '../generated/kingcuplane.js';
import {cancelledNameRetentionMs, createCancelledNames} from './cancelled-names.js';
import type {Clock, Milliseconds} from './clock.js';
import type {EntryDirectory} from './entry-directory.js';
import {readJson} from './json.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';
import {createUnconfirmedCancels, type CancelRequest} from './unconfirmed-cancels.js';

/** Dependencies of the cancellation. */
export type JobCancellationHost = {
	readonly clock: Clock;
	readonly log: Pick<Log, 'info'>;
	readonly metrics: Pick<Metrics, 'count'>;
	readonly self: Pick<EntryAddress, 'incarnation' | 'links'>;
	readonly directory: Pick<EntryDirectory, 'getLive' | 'getReported' | 'isLoaded'>;
	readonly peers: Pick<PeerHub, 'tryStartRequest' | 'getLinkedPeers'>;
	/** Whether this entry knows all others. */
	isIntroduced(): boolean;
	/** Saves the name of a cancelled job, so that it is known even if all entries are lost. Resolves once that is done, or after a limit. */
	saveName(name: string): Promise<void>;
	/**
	 * Cancels the job of this name at this entry and remembers the name. With a target, concerns only a job that was sent there, and
	 * remembers the name of no other.
	 */
	cancelHere(name: string, target?: JobTarget): LocalCancelOutcome;
};

/** What became of a request to cancel a job at one entry. */
export type LocalCancelOutcome =
	| 'cancelled'
	/** It has ended here before, and its client knows how, or that it was cancelled. */
	| 'ended'
	/** It was never here, or so long ago that this is not remembered. */
	| 'unknown';

/** Host and path of a job, which state its queue. */
export type JobTarget = {
	readonly host: string;
	readonly path: string;
};

/** What became of a request to cancel a job. */
export type CancelOutcome =
	/** At least one entry had the job. */
	| 'cancelled'
	/** It has ended at an entry before, and none that was asked had another one of its name. */
	| 'ended'
	/** Every entry that could have the job has said that it does not. */
	| 'not-found'
	/** No entry has said that it has the job, and at least one could not be asked. */
	| 'unconfirmed';

/** Cancels jobs at all entries. */
export type JobCancellation = {
	/** Cancels the job of this name at this entry and at all others; with a target, only one that was sent there. */
	cancel(name: string, target?: JobTarget): Promise<CancelOutcome>;
	/** Serves the request of another entry to cancel a job here. */
	serve(req: Pick<RelayRequest, 'operation' | 'body'>): RelayResult;
	/** Repeats the requests that an entry, to which a stream has opened, has not confirmed. */
	repeatTo(peer: EntryAddress): void;
	/** Repeats the requests that linked entries have not confirmed, and forgets those to entries that are gone. To be called regularly. */
	tick(): void;
};

/** An entry that was asked to cancel a job. */
type AskedPeer = {
	readonly peer: EntryAddress;
	readonly reply: Promise<RelayReply | undefined>;
	/** Undefined as long as it has not replied. */
	received?: RelayReply;
};

/** Operations of requests between entries that cancel a job: by its name, or by its name and target. */
export const cancelJobOperation = 'cancel-job';
export const cancelJobAtTargetOperation = 'cancel-job-at-target';
const targetSchema = z.object({name: z.string(), host: z.string(), path: z.string()});
/** Longest wait for the replies of other entries, after which their silence is detected anyway. */
const replyTimeoutMs: Milliseconds = 800;

const foundStatus = 200;
const notFoundStatus = 410;
/** The body of a reply with {@link notFoundStatus} that says that the job has ended there. */
const endedBody = Buffer.from('ended');
const localReplies: Readonly<Record<LocalCancelOutcome, RelayResult>> = {
	cancelled: {status: foundStatus, body: new Uint8Array(), retryAfterMs: 0},
	ended: {status: notFoundStatus, body: endedBody, retryAfterMs: 0},
	unknown: {status: notFoundStatus, body: new Uint8Array(), retryAfterMs: 0},
};
/** Maximum number of requests that one entry has not confirmed; at 10 cancels a second, those of over a minute. */
const maxUnconfirmed = 1000;
/** Maximum number of names in one log line. */
const maxLoggedNames = 20;

/** Creates the cancellation of one entry's clients. */
export function createJobCancellation(host: JobCancellationHost): JobCancellation {
	const unconfirmed = createUnconfirmedCancels({clock: host.clock, retentionMs: cancelledNameRetentionMs, maxRequests: maxUnconfirmed});
	/** Jobs that another entry has cancelled, perhaps after their clients were told that this was uncertain. */
	const cancelledElsewhere = createCancelledNames(host.clock);
	/** Requests that were sent and have neither a reply nor failed. */
	const pending = new Set<CancelRequest>();

	return {
		async cancel(name, target) {
			const here = host.cancelHere(name, target);
			const unreachable = getUnreachable();
			const asked = askAll(name, target, unreachable);
			const saved = target === undefined ? host.saveName(name) : undefined;
			const outcome = here === 'cancelled' || cancelledElsewhere.has(name) ? 'cancelled' : await waitForReplies(asked, unreachable, here);
			if (outcome === 'cancelled') {
				await (saved ?? host.saveName(name));
			} else if (outcome !== 'unconfirmed') {
				await saved;
			}

			host.log.info({
				request: name,
				outcome,
				here,
				isIntroduced: host.isIntroduced(),
				asked: asked.map(({peer}) => peer.name),
				replied: asked.filter(({received}) => received !== undefined).map(({peer, received}) => [peer.name, received?.status]),
				unreachable: unreachable.map(entry => entry.name),
			}, 'job cancelled by its client');
			host.metrics.count('job.cancelled', 1, {outcome});
			return outcome;
		},
		serve({operation, body}) {
			const text = Buffer.from(body).toString();
			return localReplies[operation === cancelJobAtTargetOperation ? serveAtTarget(text) : host.cancelHere(text)];
		},
		repeatTo,
		tick() {
			const linked = host.peers.getLinkedPeers();
			for (const peer of linked) {
				repeatTo(peer);
			}

			unconfirmed.retain(new Set([...linked, ...host.directory.getLive(), ...host.directory.getReported()].map(({incarnation}) => incarnation)));
		},
	};

	function repeatTo(peer: EntryAddress): void {
		const requests = unconfirmed.get(peer.incarnation).filter(req => !pending.has(req));
		if (requests.length === 0) {
			return;
		}

		host.log.info({
			peer: peer.name, incarnation: peer.incarnation, requests: requests.length, names: requests.slice(0, maxLoggedNames).map(({name}) => name),
		}, 'requests to cancel jobs are repeated');
		for (const req of requests) {
			void ask(peer, req);
		}
	}

	function serveAtTarget(text: string): LocalCancelOutcome {
		const target = readJson(targetSchema, text).unwrapOr(undefined);
		return target === undefined ? 'unknown' : host.cancelHere(target.name, target);
	}

	/** Asks all linked entries, and notes the request for those that cannot be reached. */
	function askAll(name: string, target: JobTarget | undefined, unreachable: readonly EntryAddress[]): readonly AskedPeer[] {
		const operation = target === undefined ? cancelJobOperation : cancelJobAtTargetOperation;
		const body = Buffer.from(target === undefined ? name : JSON.stringify({name, ...target}));
		for (const {incarnation} of unreachable) {
			unconfirmed.add(incarnation, {name, operation, body});
		}

		return host.peers.getLinkedPeers().map(peer => {
			const req: CancelRequest = {name, operation, body};
			unconfirmed.add(peer.incarnation, req);
			return {peer, reply: ask(peer, req)};
		});
	}

	/** Asks one entry. Resolves to undefined if it has not replied. */
	async function ask(peer: EntryAddress, req: CancelRequest): Promise<RelayReply | undefined> {
		const {operation, body} = req;
		pending.add(req);
		const reply = await host.peers.tryStartRequest(peer.incarnation, {
			operation, ticket: '', principal: '', body, timeoutMs: replyTimeoutMs,
		})?.reply;
		pending.delete(req);
		if (reply?.status === foundStatus || reply?.status === notFoundStatus) {
			unconfirmed.confirm(peer.incarnation, req);
		}

		if (reply?.status === foundStatus) {
			cancelledElsewhere.add(req.name);
		}

		return reply;
	}

	/** Waits until one entry has said that it had the job, all have replied, or the time is over. */
	async function waitForReplies(asked: readonly AskedPeer[], unreachable: readonly EntryAddress[], here: 'ended' | 'unknown'): Promise<CancelOutcome> {
		return new Promise(resolve => {
			const replies: Array<RelayReply | undefined> = [];
			const timer = host.clock.after(replyTimeoutMs, () => {
				resolve(hasEnded(here, replies) ? 'ended' : 'unconfirmed');
			});
			if (asked.length === 0) {
				finish();
			}

			for (const peer of asked) {
				void peer.reply.then(received => {
					peer.received = received;
					replies.push(received);
					if (received?.status === foundStatus || replies.length === asked.length) {
						finish();
					}
				});
			}

			function finish(): void {
				timer.cancel();
				resolve(toOutcome(replies, unreachable, here));
			}
		});
	}

	function toOutcome(replies: ReadonlyArray<RelayReply | undefined>, unreachable: readonly EntryAddress[], here: 'ended' | 'unknown'): CancelOutcome {
		if (replies.some(reply => reply?.status === foundStatus)) {
			return 'cancelled';
		}

		// Whoever could not be asked is told later, and has no copy unless its client sent the job again after it knew how it had ended.
		if (hasEnded(here, replies)) {
			return 'ended';
		}

		const areAllSure = replies.every(reply => reply?.status === notFoundStatus);
		return areAllSure && unreachable.length === 0 && host.directory.isLoaded() && host.isIntroduced() ? 'not-found' : 'unconfirmed';
	}

	function hasEnded(here: 'ended' | 'unknown', replies: ReadonlyArray<RelayReply | undefined>): boolean {
		return here === 'ended' || replies.some(reply => reply?.status === notFoundStatus && endedBody.equals(reply.body));
	}

	/** Returns the live entries that cannot be asked. One whose address another incarnation has taken over is gone, with its jobs. */
	function getUnreachable(): readonly EntryAddress[] {
		const linked = host.peers.getLinkedPeers();
		const incarnations = new Set([host.self.incarnation, ...linked.map(peer => peer.incarnation)]);
		const addresses = new Set([host.self.links, ...linked.map(peer => peer.links)]);
		return [...host.directory.getLive(), ...host.directory.getReported()].filter(entry => !incarnations.has(entry.incarnation) && !addresses.has(entry.links));
	}
}
