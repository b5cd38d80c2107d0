import {createIsolationGuard} from '../../src/connection/isolation-guard.js';
import {TaskStart} from '../../src/generated/kingcuplane.js';
import {describe, it} from '../describe.js';

function createStart(ticket: string, isolated: boolean): TaskStart {
	return TaskStart.fromPartial({task: {ticket, index: 0}, isolated});
}

describe('an upstream with an isolated task', () => {
	it('runs further tasks of its job and none of other jobs', t => {
		const guard = createIsolationGuard();
		const isolated = createStart('j', true);
		t.true(guard.allows(isolated));
		guard.recordStart(isolated);
		t.true(guard.isActive());
		t.true(guard.allows(createStart('j', true)));
		t.true(guard.allows(createStart('j', false)));
		t.false(guard.allows(createStart('other', true)));
		t.false(guard.allows(createStart('other', false)));
		guard.recordEnd(isolated);
		t.false(guard.isActive());
		t.true(guard.allows(createStart('other', false)));
	});

	it('does not get one beside tasks of other jobs', t => {
		const guard = createIsolationGuard();
		const first = createStart('a', false);
		const second = createStart('b', false);
		guard.recordStart(first);
		guard.recordStart(second);
		t.false(guard.allows(createStart('a', true)));
		guard.recordEnd(second);
		t.true(guard.allows(createStart('a', true)));
		t.false(guard.allows(createStart('j', true)));
		guard.recordEnd(first);
		t.true(guard.allows(createStart('j', true)));
	});
});
