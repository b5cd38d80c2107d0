/**
 * Requests to cancel jobs that other entries have not confirmed, for instance because they stood still or could not be reached. Each is kept
 * until its entry has replied, so that it neither goes on with the job nor starts it later.
 */
import type {Clock, Milliseconds} from './clock.js';

/** A request to another entry to cancel a job. */
export type CancelRequest = {
	/** The client's name for the job. */
	readonly name: string;
	readonly operation: string;
	readonly body: Uint8Array;
};

/** Dependencies and limits of the requests. */
export type UnconfirmedCancelsHost = {
	readonly clock: Clock;
	/** Time after which no request of a cancelled job can be on its way any more. */
	readonly retentionMs: Milliseconds;
	/** Beyond this number, the oldest requests to an entry are forgotten early. */
	readonly maxRequests: number;
};

/** The requests by the incarnation of the entry. */
export type UnconfirmedCancels = {
	add(incarnation: string, req: CancelRequest): void;
	/** Removes a request that the entry has replied to. */
	confirm(incarnation: string, req: CancelRequest): void;
	/** Returns the requests to an entry, the oldest first. */
	get(incarnation: string): readonly CancelRequest[];
	/** Forgets the requests to all entries but these, and those that are too old. */
	retain(incarnations: ReadonlySet<string>): void;
};

/** Creates an empty set of requests. */
export function createUnconfirmedCancels({clock, retentionMs, maxRequests}: UnconfirmedCancelsHost): UnconfirmedCancels {
	/** When each request was added, by incarnation. */
	const requests = new Map<string, Map<CancelRequest, Milliseconds>>();

	return {
		add(incarnation, req) {
			const ofEntry = requests.get(incarnation) ?? new Map<CancelRequest, Milliseconds>();
			requests.set(incarnation, ofEntry);
			ofEntry.set(req, clock.now());
			for (const oldest of [...ofEntry.keys()].slice(0, Math.max(0, ofEntry.size - maxRequests))) {
				ofEntry.delete(oldest);
			}
		},
		confirm(incarnation, req) {
			const ofEntry = requests.get(incarnation);
			ofEntry?.delete(req);
			if (ofEntry?.size === 0) {
				requests.delete(incarnation);
			}
		},
		get: incarnation => [...requests.get(incarnation)?.keys() ?? []],
		retain(incarnations) {
			const oldest = clock.now() - retentionMs;
			for (const [incarnation, ofEntry] of requests) {
				for (const [req, addedAt] of ofEntry) {
					if (addedAt < oldest) {
						ofEntry.delete(req);
					}
				}

				if (ofEntry.size === 0 || !incarnations.has(incarnation)) {
					requests.delete(incarnation);
				}
			}
		},
	};
}
