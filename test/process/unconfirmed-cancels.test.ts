import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createUnconfirmedCancels, type CancelRequest, type UnconfirmedCancels} from '../../src/process/unconfirmed-cancels.js';
import {describe, it} from '../describe.js';

function createFixture(): {readonly clock: FakeClock; readonly cancels: UnconfirmedCancels} {
	const clock = createFakeClock(1000);
	return {clock, cancels: createUnconfirmedCancels({clock, retentionMs: 1000, maxRequests: 2})};
}

function createRequest(name: string): CancelRequest {
	return {name, operation: 'cancel-job', body: new Uint8Array()};
}

describe('requests to cancel that an entry has not confirmed', () => {
	it('are kept in order until it confirms them', t => {
		const {cancels} = createFixture();
		const [first, second] = [createRequest('1'), createRequest('2')];
		cancels.add('a', first);
		cancels.add('a', second);
		cancels.add('b', first);
		t.deepEqual(cancels.get('a'), [first, second]);
		cancels.confirm('a', first);
		t.deepEqual(cancels.get('a'), [second]);
		t.deepEqual(cancels.get('b'), [first]);
		cancels.confirm('c', first);
	});

	it('are limited in number for each entry', t => {
		const {cancels} = createFixture();
		for (const name of ['1', '2', '3']) {
			cancels.add('a', createRequest(name));
		}

		t.deepEqual(cancels.get('a').map(({name}) => name), ['2', '3']);
	});

	it('are forgotten when the entry is gone, and when no request of the job can be on its way any more', t => {
		const {clock, cancels} = createFixture();
		cancels.add('a', createRequest('1'));
		cancels.add('b', createRequest('1'));
		clock.advance(600);
		cancels.add('a', createRequest('2'));
		clock.advance(401);
		cancels.retain(new Set(['a']));
		t.deepEqual(cancels.get('a').map(({name}) => name), ['2']);
		t.deepEqual(cancels.get('b'), []);
	});
});
