import {createFakeClock} from '../../src/process/fake-clock.js';
import {createMemoryPlatform} from '../../src/process/platform/memory.js';
import {createAgreedAnswerStore} from '../../src/request/agreed-answers.js';
import {describe, it} from '../describe.js';

const ticket = {
	incarnation: 'e-1', block: 0, sequence: 0, text: 'kc1.e-1.0.0.mac',
};

describe('agreed answers', () => {
	it('keep the first proposal', async t => {
		const store = createAgreedAnswerStore(createMemoryPlatform({clock: createFakeClock(), timeout: 1000}).table);
		t.deepEqual(await store.propose(ticket, {state: 'failed', ran: 'may-have-run'}), {state: 'failed', ran: 'may-have-run', diagnostic: undefined});
		const second = await store.propose(ticket, {state: 'complete', ran: 'ran'});
		t.is(second?.state, 'failed');
	});

	for (const value of ['{"state":', '{"state":"half","ran":"ran"}', '7']) {
		it(`treat an unreadable row as an answer that is not known: ${value}`, async t => {
			const {table} = createMemoryPlatform({clock: createFakeClock(), timeout: 1000});
			await table.commit({conditions: [], writes: [{key: `answers/e-1/${ticket.text}`, value}]});
			t.is(await createAgreedAnswerStore(table).propose(ticket, {state: 'complete', ran: 'ran'}), undefined);
		});
	}
});
