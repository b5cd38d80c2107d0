import {errAsync, okAsync} from 'neverthrow';
import {createTicketSource} from '../../../dev/load/ticket-source.js';
import {createFakeClock} from '../../../src/process/fake-clock.js';
import {describe, it} from '../../describe.js';

describe('ticket source', () => {
	it('gives each ticket once, and none in the second half of its lifetime', async t => {
		const clock = createFakeClock();
		let blocks = 0;
		const entry = {
			issueTickets(count: number) {
				blocks++;
				return okAsync({tickets: Array.from({length: count}, (_, i) => `${blocks}-${i}`), lifetimeMs: 1000});
			},
		};
		const source = createTicketSource({clock, entry, blockSize: 4});
		const taken = [await source.tryTake(), await source.tryTake(), await source.tryTake()];
		t.deepEqual(taken, ['1-0', '1-1', '1-2']);
		t.is(blocks, 2);

		clock.advance(500);
		t.is(await source.tryTake(), '3-0');
	});

	it('gives none while the entry does not answer', async t => {
		const entry = {issueTickets: () => errAsync({kind: 'lost', detail: ''} as const)};
		const source = createTicketSource({clock: createFakeClock(), entry, blockSize: 4});
		t.is(await source.tryTake(), undefined);
	});
});
