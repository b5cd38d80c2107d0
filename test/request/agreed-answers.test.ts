import fc from 'fast-check';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {createMemoryPlatform} from '../../src/process/platform/memory.js';
import {createAgreedAnswerStore} from '../../src/request/agreed-answers.js';
import {describe, it} from '../describe.js';
import {createOddTexts, oddInputRuns} from '../odd-input.js';
import {silentLog} from '../silent-log.js';

const ticket = {
	incarnation: 'e-1', block: 0, sequence: 0, text: 'kc1.e-1.0.0.mac',
};

describe('agreed answers', () => {
	it('keep the first proposal', async t => {
		const store = createAgreedAnswerStore(createMemoryPlatform({clock: createFakeClock(), timeout: 1000}).table, silentLog);
		t.deepEqual(await store.propose(ticket, {state: 'failed', ran: 'may-have-run'}), {state: 'failed', ran: 'may-have-run', diagnostic: undefined});
		const second = await store.propose(ticket, {state: 'complete', ran: 'ran'});
		t.is(second?.state, 'failed');
	});

	for (const value of ['{"state":', '{"state":"half","ran":"ran"}', '7']) {
		it(`treat an unreadable row as an answer that is not known: ${value}`, async t => {
			const {table} = createMemoryPlatform({clock: createFakeClock(), timeout: 1000});
			await table.commit({conditions: [], writes: [{key: `answers/e-1/${ticket.text}`, value}]});
			t.is(await createAgreedAnswerStore(table, silentLog).propose(ticket, {state: 'complete', ran: 'ran'}), undefined);
		});
	}

	it('are an answer or not known, whatever the row contains, and those of other tickets hold', async t => {
		const agreed = {
			state: 'failed', ran: 'may-have-run', diagnostic: {
				code: 4101, kind: 'HomeLost', message: 'm', remedy: 'r',
			},
		} as const;
		await fc.assert(fc.asyncProperty(createOddTexts(agreed), async value => {
			const {table} = createMemoryPlatform({clock: createFakeClock(), timeout: 1000});
			await table.commit({conditions: [], writes: [{key: `answers/e-1/${ticket.text}`, value}]});
			const store = createAgreedAnswerStore(table, silentLog);
			const answer = await store.propose(ticket, {state: 'complete', ran: 'ran'});
			t.true(answer === undefined || ['complete', 'failed', 'refused'].includes(answer.state));
			const other = await store.propose({...ticket, text: 'kc1.e-1.0.1.mac'}, {state: 'complete', ran: 'ran'});
			t.is(other?.state, 'complete');
		}), oddInputRuns);
	});
});
