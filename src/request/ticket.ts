/**
 * Tickets: the identities under which callers submit work. A ticket can be used once, within its lifetime, and only
 * at the entry incarnation that issued it.
 */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import type {Clock, Milliseconds} from '../process/clock.js';
import {createDiagnostic, type Diagnostic, Diagnostics} from '../process/diagnostics.js';
import type {Ticket} from './types.js';

/** Dependencies and settings of a ticket issuer. */
export type TicketIssuerHost = {
	readonly clock: Clock;
	/** Incarnation of this process; unique among all processes and restarts. */
	readonly incarnation: string;
	/** Key of the message authentication code. Only this incarnation verifies its tickets, so the key is not shared. */
	readonly key: Uint8Array;
	/** Time between the first and the last ticket of a block. */
	readonly blockMs: Milliseconds;
	/** Time within which a ticket must be used. */
	readonly lifetimeMs: Milliseconds;
};

/** Result of {@link TicketIssuer.claim}. */
export type TicketClaim =
	/** The ticket was unused and is now spent. */
	| 'claimed'
	/** The ticket was used before. */
	| 'spent'
	/** The lifetime of the ticket is over, or it was never issued. It cannot be used. */
	| 'expired';

/** Issues tickets and ensures that each is used at most once. */
export type TicketIssuer = {
	issue(owner: string, count: number): readonly Ticket[];
	/** Whether this incarnation issued the ticket to this owner. */
	verify(ticket: Ticket, owner: string): Result<void, Diagnostic>;
	/** Spends a ticket of this incarnation, unless it is spent or expired. */
	claim(ticket: Ticket): TicketClaim;
	/** Returns the number of blocks whose tickets may still be used. */
	getOpenBlocks(): number;
};

const prefix = 'kc1';
const macBytes = 12;
const ticketPattern = /^kc1\.[a-z\d\-]{1,64}\.[a-z\d]{1,9}\.[a-z\d]{1,9}\.[\w\-]{16}$/v;
const maxTicketLength = 120;

type Block = {
	readonly issuedAt: Milliseconds;
	issued: number;
	readonly spent: Set<number>;
};

/** Creates the issuer of one entry incarnation. */
export function createTicketIssuer(host: TicketIssuerHost): TicketIssuer {
	const blocks = new Map<number, Block>();
	let current = -1;

	return {
		issue(owner, count) {
			const tickets: Ticket[] = [];
			for (let i = 0; i < count; i++) {
				tickets.push(issueOne(owner));
			}

			return tickets;
		},
		verify(ticket, owner) {
			const expected = getMac(host.key, ticket, owner);
			const given = Buffer.from(ticket.text.slice(ticket.text.lastIndexOf('.') + 1), 'base64url');
			if (given.length === macBytes && timingSafeEqual(given, expected)) {
				return ok();
			}

			return err(createDiagnostic(Diagnostics.Ticket_is_foreign, ticket.text));
		},
		claim(ticket) {
			deleteExpiredBlocks();
			const block = blocks.get(ticket.block);
			if (block === undefined || ticket.sequence >= block.issued) {
				return 'expired';
			}

			if (block.spent.has(ticket.sequence)) {
				return 'spent';
			}

			block.spent.add(ticket.sequence);
			return 'claimed';
		},
		getOpenBlocks: () => blocks.size,
	};

	function issueOne(owner: string): Ticket {
		const block = getCurrentBlock();
		const sequence = block.issued++;
		const unsigned = {incarnation: host.incarnation, block: current, sequence};
		const mac = Buffer.from(getMac(host.key, unsigned, owner)).toString('base64url');
		const text = [prefix, host.incarnation, current.toString(36), sequence.toString(36), mac].join('.');
		return {...unsigned, text};
	}

	function getCurrentBlock(): Block {
		const now = host.clock.now();
		const open = blocks.get(current);
		if (open !== undefined && now - open.issuedAt < host.blockMs) {
			return open;
		}

		deleteExpiredBlocks();
		const block: Block = {issuedAt: now, issued: 0, spent: new Set()};
		current++;
		blocks.set(current, block);
		return block;
	}

	// Blocks are in order of age, so the scan ends at the first one that is still open.
	function deleteExpiredBlocks(): void {
		const oldest = host.clock.now() - host.lifetimeMs - host.blockMs;
		for (const [number, block] of blocks) {
			if (block.issuedAt >= oldest) {
				return;
			}

			blocks.delete(number);
		}
	}
}

/** Parses the text of a ticket. Its authentication code is checked by {@link TicketIssuer.verify}. */
export function parseTicket(text: string): Result<Ticket, Diagnostic> {
	if (text.length > maxTicketLength || !ticketPattern.test(text)) {
		return err(createDiagnostic(Diagnostics.Ticket_is_malformed, text.slice(0, maxTicketLength)));
	}

	const [, incarnation, block, sequence] = text.split('.');
	return ok({
		incarnation: incarnation!,
		block: Number.parseInt(block!, 36),
		sequence: Number.parseInt(sequence!, 36),
		text,
	});
}

function getMac(key: Uint8Array, ticket: Pick<Ticket, 'incarnation' | 'block' | 'sequence'>, owner: string): Uint8Array {
	return createHmac('sha256', key)
		.update(JSON.stringify([ticket.incarnation, ticket.block, ticket.sequence, owner]))
		.digest()
		.subarray(0, macBytes);
}
