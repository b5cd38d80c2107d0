import {createRoomKeeper} from '../../src/connection/room-keeper.js';
import {describe, it} from '../describe.js';

const room = {cpu: 4000, memory: 100, accelerators: 1};
const task = {cpu: 1500, memory: 10, accelerators: 0};

describe('room keeper', () => {
	it('takes what fits in every resource and gives it back', t => {
		const keeper = createRoomKeeper({changed: () => undefined}, room);
		t.true(keeper.tryUse('e', task));
		t.true(keeper.tryUse('e', task));
		t.false(keeper.tryUse('e', task));
		t.false(keeper.tryUse('e', {cpu: 0, memory: 0, accelerators: 2}));
		keeper.release('e', task);
		t.deepEqual(keeper.getFreeRoom(), {cpu: 2500, memory: 90, accelerators: 1});
	});

	it('takes nothing while draining or while the upstream cannot be reached', t => {
		const keeper = createRoomKeeper({changed: () => undefined}, room);
		keeper.setDraining(true);
		t.false(keeper.tryUse('e', task));
		keeper.setDraining(false);
		keeper.setSlots(0);
		t.false(keeper.tryUse('e', task));
		keeper.setSlots(1);
		t.true(keeper.tryUse('e', task));
	});

	it('tells entries with waiting tasks, and only these, when room becomes free', t => {
		const told: string[] = [];
		const keeper = createRoomKeeper({changed: entry => told.push(entry)}, room);
		for (const entry of ['waiting', 'idle', 'gone']) {
			keeper.open(entry);
			keeper.setQueued(entry, entry === 'idle' ? 0 : 2);
		}

		keeper.close('gone');
		keeper.tryUse('waiting', task);
		keeper.release('waiting', task);
		t.deepEqual(told, ['waiting']);
	});
});
