/**
 * Keeps a stock of tickets of one entry, so that a submission rarely waits for one.
 */
import type {Clock, Milliseconds} from '../../src/process/clock.js';
import type {EntryClient} from './entry-client.js';

/** What a ticket source needs. */
export type TicketSourceHost = {
	readonly clock: Clock;
	readonly entry: Pick<EntryClient, 'issueTickets'>;
	/** Tickets asked for at a time. */
	readonly blockSize: number;
};

/** Gives tickets of one entry. */
export type TicketSource = {
	/** A ticket that has not expired; undefined if the entry gives none now. */
	tryTake(): Promise<string | undefined>;
};

type StockedTicket = {
	readonly text: string;
	readonly useBy: Milliseconds;
};

/** Share of a ticket's lifetime within which it is used. */
const usedLifetime = 0.5;

/** Refills that one ticket waits for: the first may have begun so long ago that its tickets have expired. */
const refillTries = 2;

/** Creates an empty source. */
export function createTicketSource({clock, entry, blockSize}: TicketSourceHost): TicketSource {
	let stock: StockedTicket[] = [];
	let refill: Promise<void> | undefined;

	return {
		async tryTake() {
			dropExpired();
			for (let i = 0; i < refillTries && stock.length === 0; i++) {
				await startRefill();
				dropExpired();
			}

			const ticket = stock.shift();
			if (stock.length < blockSize / 2) {
				void startRefill();
			}

			return ticket?.text;
		},
	};

	function dropExpired(): void {
		const now = clock.now();
		stock = stock.filter(({useBy}) => useBy > now);
	}

	async function startRefill(): Promise<void> {
		refill ??= fetchBlock().finally(() => {
			refill = undefined;
		});
		return refill;
	}

	async function fetchBlock(): Promise<void> {
		const askedAt = clock.now();
		const issued = await entry.issueTickets(blockSize);
		if (issued.isOk()) {
			const {tickets, lifetimeMs} = issued.value;
			stock.push(...tickets.map(text => ({text, useBy: askedAt + (lifetimeMs * usedLifetime)})));
		}
	}
}
