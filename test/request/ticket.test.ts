import {createTicketIssuer, parseTicket, type TicketIssuer} from '../../src/request/ticket.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

const key = new Uint8Array(32).fill(7);

function createIssuer(clock: FakeClock): TicketIssuer {
	return createTicketIssuer({
		clock, incarnation: 'home1', key, blockMs: 1000, lifetimeMs: 60_000,
	});
}

describe('ticket', () => {
	describe('claim', () => {
		it('succeeds once for each ticket', t => {
			const issuer = createIssuer(createFakeClock());
			const [first, second] = issuer.issue('ann', 2);
			t.is(issuer.claim(first!), 'claimed');
			t.is(issuer.claim(first!), 'spent');
			t.is(issuer.claim(second!), 'claimed');
		});

		it('fails permanently once the lifetime of the ticket is over', t => {
			const clock = createFakeClock();
			const issuer = createIssuer(clock);
			const [unused, used] = issuer.issue('ann', 2);
			issuer.claim(used!);
			clock.advance(61_001);
			t.is(issuer.claim(unused!), 'expired');
			t.is(issuer.claim(used!), 'expired');
			t.is(issuer.getOpenBlocks(), 0);
		});

		it('fails for a ticket that was never issued', t => {
			const issuer = createIssuer(createFakeClock());
			const [ticket] = issuer.issue('ann', 1);
			t.is(issuer.claim({...ticket!, sequence: 9}), 'expired');
		});
	});

	describe('verify', () => {
		it('succeeds for the caller that the ticket was issued to', t => {
			const issuer = createIssuer(createFakeClock());
			const [ticket] = issuer.issue('ann', 1);
			t.true(issuer.verify(ticket!, 'ann').isOk());
		});

		it('fails for another caller and for changed text', t => {
			const issuer = createIssuer(createFakeClock());
			const [ticket] = issuer.issue('ann', 1);
			t.is(issuer.verify(ticket!, 'bob')._unsafeUnwrapErr().kind, 'TicketForeign');
			const forged = parseTicket(ticket!.text.replace('.0.0.', '.0.1.'))._unsafeUnwrap();
			t.is(issuer.verify(forged, 'ann')._unsafeUnwrapErr().kind, 'TicketForeign');
		});
	});

	describe('parseTicket', () => {
		it('parses an issued ticket', t => {
			const clock = createFakeClock();
			const issuer = createIssuer(clock);
			issuer.issue('ann', 1);
			clock.advance(1000);
			const [ticket] = issuer.issue('ann', 1);
			t.deepEqual(parseTicket(ticket!.text)._unsafeUnwrap(), ticket);
			t.is(ticket!.block, 1);
		});

		for (const text of ['', 'kc1', 'kc1.a.b.c', 'kc2.home.0.0.AAAAAAAAAAAAAAAA', `kc1.${'a'.repeat(200)}.0.0.AAAAAAAAAAAAAAAA`]) {
			it(`refuses "${text.slice(0, 20)}" of ${text.length} characters`, t => {
				t.is(parseTicket(text)._unsafeUnwrapErr().kind, 'TicketMalformed');
			});
		}
	});
});
