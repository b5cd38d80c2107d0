/**
 * Buffers tickets of one entry, so that a submission rarely waits for one.
 */
import type {Clock, Milliseconds} from '../../src/process/clock.js';
import type {EntryClient} from './entry-client.js';

/** What a ticket source needs. */
export type TicketSourceHost = {
	readonly clock: Clock;
	readonly entry: Pick<EntryClient, 'issueTickets'>;
	/** Number of tickets to request at a time. */
	readonly blockSize: number;
};

/** A source of tickets of one entry. */
export type TicketSource = {
	/** Returns a ticket that has not expired; undefined if the entry issues none now. */
	tryTake(): Promise<string | undefined>;
};

type BufferedTicket = {
	readonly text: string;
	readonly useBy: Milliseconds;
};

/** Share of a ticket's lifetime after which it is dropped from the buffer. */
const usableLifetimeShare = 0.5;

/**
 * Maximum number of refills that one call waits for. The first may have been requested so long ago that its tickets have
 * expired.
 */
const maxRefills = 2;

/** Creates an empty source. */
export function createTicketSource({clock, entry, blockSize}: TicketSourceHost): TicketSource {
	let buffer: BufferedTicket[] = [];
	let refill: Promise<void> | undefined;

	return {
		async tryTake() {
			dropExpired();
			for (let i = 0; i < maxRefills && buffer.length === 0; i++) {
				await startRefill();
				dropExpired();
			}

			const ticket = buffer.shift();
			if (buffer.length < blockSize / 2) {
				void startRefill();
			}

			return ticket?.text;
		},
	};

	function dropExpired(): void {
		const now = clock.now();
		buffer = buffer.filter(({useBy}) => useBy > now);
	}

	async function startRefill(): Promise<void> {
		refill ??= fetchBlock().finally(() => {
			refill = undefined;
		});
		return refill;
	}

	async function fetchBlock(): Promise<void> {
		const requestedAt = clock.now();
		const issued = await entry.issueTickets(blockSize);
		if (issued.isOk()) {
			const {tickets, lifetimeMs} = issued.value;
			buffer.push(...tickets.map(text => ({text, useBy: requestedAt + (lifetimeMs * usableLifetimeShare)})));
		}
	}
}
