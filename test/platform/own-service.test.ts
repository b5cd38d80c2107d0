import {createOwnServiceCheck} from '../../src/platform/own-service.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';
import {silentLog} from '../silent-log.js';

describe('the own service of an executor', () => {
	it('is the one that the settings name', t => {
		const isOwnService = createOwnServiceCheck({
			clock: createFakeClock(), log: silentLog, service: 'work', readService: () => 'work',
		});
		t.true(isOwnService('work'));
		t.false(isOwnService('other'));
	});

	it('is any, if the settings name none', t => {
		const isOwnService = createOwnServiceCheck({
			clock: createFakeClock(), log: silentLog, service: undefined, readService: () => undefined,
		});
		t.true(isOwnService('other'));
	});

	// Guards against an executor that is never used, since the settings of its machine changed while the agent ran.
	it('is read again when another one is named, once a second at most', t => {
		const clock = createFakeClock();
		let read: string | undefined = 'work';
		let reads = 0;
		const isOwnService = createOwnServiceCheck({
			clock,
			log: silentLog,
			service: 'work',
			readService() {
				reads++;
				return read;
			},
		});
		for (let i = 0; i < 100; i++) {
			t.false(isOwnService('next'));
		}

		t.is(reads, 1);
		read = 'next';
		clock.advance(1000);
		t.true(isOwnService('next'));
		t.false(isOwnService('work'));
		read = undefined;
		clock.advance(1000);
		t.false(isOwnService('work'));
		t.true(isOwnService('next'));
	});
});
