/**
 * What an entry has to do before it takes jobs: learn from the other entries and from the store which jobs were cancelled, and make sure that they know of it, so
 * that each request to cancel reaches it. It asks every live entry for the names of cancelled jobs. The request follows its own address on the
 * stream, so the reply shows both.
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {PeerHub} from '../connection/peer-hub.js';
import type {RelayResult} from '../connection/peer-types.js';
import type {EntryAddress, RelayRequest} from '../generated/kingcuplane.js';
import type {AgedName, RecentNames} from '../request/recent-names.js';
import {cancelledNameRetentionMs} from './cancelled-names.js';
import {sleep, type Clock, type Milliseconds} from './clock.js';
import type {EntryDirectory} from './entry-directory.js';
import {readJson} from './json.js';
import type {Log} from './log.js';

/** Dependencies of the introduction. */
export type EntryIntroductionHost = {
	readonly clock: Clock;
	readonly log: Pick<Log, 'info'>;
	readonly self: Pick<EntryAddress, 'incarnation' | 'links'>;
	readonly directory: Pick<EntryDirectory, 'getLive' | 'getReported' | 'hasReadSinceRegistration'>;
	readonly peers: Pick<PeerHub, 'tryStartRequest' | 'getLinkedPeers'>;
	/** Undefined if jobs have no names here; nothing has to be learnt then. */
	readonly cancelledNames: RecentNames | undefined;
	/** Reads the names that outlast the loss of all entries; undefined if that is not possible now. If undefined itself, there are none. */
	loadCancelledNames?(): Promise<readonly AgedName[] | undefined>;
	/** Called with names of cancelled jobs that were new here. Such a job may be open here. */
	onCancelsLearnt?(names: readonly string[]): void;
};

/** The introduction of one entry. */
export type EntryIntroduction = {
	/** Whether every live entry has replied, or the limit for that has passed. */
	isDone(): boolean;
	/** Resolves when it is done. */
	whenDone(): Promise<void>;
	/** Asks an entry to which a stream has opened. */
	introduceTo(peer: EntryAddress): void;
	/**
	 * Notes which streams are open, and asks entries again that have not replied. Asks all others if a stream was lost: its entry may have been
	 * the only one to tell this one of a name. Reads the names in the store again if that has failed. To be called regularly.
	 */
	tick(): void;
	/** Asks all entries for the names of a pause of this process, in which it may have missed any message. */
	recordPause(pause: Milliseconds): void;
	/** Serves the request of another entry. */
	serve(req: Pick<RelayRequest, 'body'>): RelayResult;
};

/** Operation of a request between entries for the names of cancelled jobs. */
export const introduceOperation = 'introduce';
/** Longest wait for the replies of entries that may be lost. */
const introductionTimeoutMs: Milliseconds = 1000;
const replyTimeoutMs: Milliseconds = 800;
/** Interval at which it is checked whether it is done, while jobs wait for that. */
const checkIntervalMs: Milliseconds = 10;
/** Time before the end of a stream in which messages on it may have been lost. */
const lostMessagesMs: Milliseconds = 10_000;

/** Maximum number of names in one log line. */
const maxLoggedNames = 20;

const requestSchema = z.object({maxAgeMs: z.number().min(0).max(cancelledNameRetentionMs)});
const replySchema = z.array(z.tuple([z.string(), z.number().min(0)]));

/** Creates the introduction of an entry that has no streams yet. */
export function createEntryIntroduction(host: EntryIntroductionHost): EntryIntroduction {
	const {clock, log, self, directory, peers, cancelledNames} = host;
	const startedAt = clock.now();
	/** The incarnations that have replied. */
	const introduced = new Set<string>();
	/** The incarnations whose reply is pending. */
	const asked = new Set<string>();
	/** The incarnations that have not replied to the last request, and the pause before it. */
	const unanswered = new Map<string, Milliseconds>();
	/** When the stream to each incarnation was seen last, before a request that it has not replied to. */
	const linkedAt = new Map<string, Milliseconds>();
	/** The incarnations to which streams were open at the last tick. */
	let linkedBefore: ReadonlySet<string> = new Set();
	let isOver = cancelledNames === undefined;
	let whenOver: Promise<void> | undefined;
	let areNamesLoaded = host.loadCancelledNames === undefined;
	let isLoadingNames = false;
	void loadNames();

	return {
		isDone,
		async whenDone() {
			whenOver ??= waitUntilDone();
			return whenOver;
		},
		introduceTo(peer) {
			askAgain(peer);
		},
		tick,
		recordPause(pause) {
			for (const peer of peers.getLinkedPeers()) {
				askAgain(peer, pause);
			}
		},
		serve({body}) {
			const maxAge = readJson(requestSchema, Buffer.from(body).toString()).map(({maxAgeMs}) => maxAgeMs).unwrapOr(cancelledNameRetentionMs);
			const names = cancelledNames?.getSince(maxAge) ?? [];
			return {status: 200, body: Buffer.from(JSON.stringify(names.map(({name, age}) => [name, Math.round(age)]))), retryAfterMs: 0};
		},
	};

	function isDone(): boolean {
		isOver ||= areAllIntroduced() || isOverdue();
		return isOver;
	}

	async function waitUntilDone(): Promise<void> {
		while (!isDone()) {
			await sleep(clock, checkIntervalMs);
		}
	}

	function askAgain(peer: EntryAddress, pause: Milliseconds = 0): void {
		if (cancelledNames !== undefined) {
			void ask(peer, cancelledNames, pause);
		}
	}

	/** Asks for the names since the stream was seen last, or all. The clock may not have counted a pause, or only a part of it. */
	async function ask(peer: EntryAddress, names: RecentNames, pause: Milliseconds): Promise<void> {
		const maxAgeMs = Math.min(cancelledNameRetentionMs, clock.now() - (linkedAt.get(peer.incarnation) ?? -Infinity) + pause + lostMessagesMs);
		asked.add(peer.incarnation);
		unanswered.set(peer.incarnation, pause);
		const reply = await peers.tryStartRequest(peer.incarnation, {
			operation: introduceOperation, ticket: '', principal: '', body: Buffer.from(JSON.stringify({maxAgeMs})), timeoutMs: replyTimeoutMs,
		})?.reply;
		asked.delete(peer.incarnation);
		const found = reply?.status === 200 ? readJson(replySchema, Buffer.from(reply.body).toString()) : undefined;
		if (found?.isOk()) {
			introduced.add(peer.incarnation);
			unanswered.delete(peer.incarnation);
			learn(names, found.value.map(([name, age]) => ({name, age})), {peer: peer.name, incarnation: peer.incarnation, maxAgeMs});
		}
	}

	async function loadNames(): Promise<void> {
		if (cancelledNames === undefined || areNamesLoaded || isLoadingNames) {
			return;
		}

		isLoadingNames = true;
		const loaded = await host.loadCancelledNames?.();
		isLoadingNames = false;
		if (loaded !== undefined) {
			areNamesLoaded = true;
			learn(cancelledNames, loaded, {peer: 'store'});
		}
	}

	function learn(names: RecentNames, received: readonly AgedName[], source: Readonly<Record<string, unknown>>): void {
		const learnt = names.addAged(received);
		log.info({...source, names: received.length, learnt: learnt.slice(0, maxLoggedNames)}, 'names of cancelled jobs received');
		if (learnt.length > 0) {
			host.onCancelsLearnt?.(learnt);
		}
	}

	function tick(): void {
		void loadNames();
		const linked = peers.getLinkedPeers();
		const incarnations = new Set(linked.map(({incarnation}) => incarnation));
		const isAnyLost = [...linkedBefore].some(incarnation => !incarnations.has(incarnation));
		linkedBefore = incarnations;
		for (const peer of linked) {
			const isUpToDate = introduced.has(peer.incarnation) && !unanswered.has(peer.incarnation);
			if (isUpToDate) {
				linkedAt.set(peer.incarnation, clock.now());
			}

			if (!asked.has(peer.incarnation) && (isAnyLost || !isUpToDate)) {
				askAgain(peer, unanswered.get(peer.incarnation));
			}
		}
	}

	function areAllIntroduced(): boolean {
		return areNamesLoaded && directory.hasReadSinceRegistration() && getStrangers().length === 0;
	}

	function isOverdue(): boolean {
		if (clock.now() - startedAt < introductionTimeoutMs) {
			return false;
		}

		log.info({strangers: getStrangers().map(({name}) => name), hasReadDirectory: directory.hasReadSinceRegistration(), areNamesLoaded}, 'jobs are taken although not every entry has replied');
		return true;
	}

	/** Returns the entries that have not replied. One whose address another incarnation has taken over is gone. */
	function getStrangers(): readonly EntryAddress[] {
		const addresses = new Set([self.links, ...peers.getLinkedPeers().filter(peer => introduced.has(peer.incarnation)).map(peer => peer.links)]);
		return [...directory.getLive(), ...directory.getReported()].filter(entry => entry.incarnation !== self.incarnation && !introduced.has(entry.incarnation) && !addresses.has(entry.links));
	}
}
