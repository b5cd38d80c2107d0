import {createEvacuationHolder} from '../../src/version/evacuations.js';
import {describe, it} from '../describe.js';

describe('evacuations', () => {
	it('replace the list only by one of a higher revision', t => {
		const holder = createEvacuationHolder();
		t.true(holder.offer({revision: 5, dataCentres: ['b', 'a']}));
		t.false(holder.offer({revision: 5, dataCentres: []}));
		t.false(holder.offer({revision: 4, dataCentres: ['c']}));
		t.deepEqual(holder.tryGet(), {revision: 5, dataCentres: ['a', 'b']});
		t.true(holder.offer({revision: 6, dataCentres: ['a']}));
		t.deepEqual([holder.isEvacuated('a'), holder.isEvacuated('b')], [true, false]);
	});

	it('take the revision of an unchanged list, so that an older list cannot replace it', t => {
		const holder = createEvacuationHolder();
		const changes: unknown[] = [];
		holder.onChange((list, change) => {
			changes.push([list.revision, change]);
		});
		holder.offer({revision: 1, dataCentres: []});
		holder.offer({revision: 10, dataCentres: ['a']});
		t.true(holder.offer({revision: 30, dataCentres: ['a']}));
		t.false(holder.offer({revision: 20, dataCentres: []}));
		t.true(holder.isEvacuated('a'));
		holder.offer({revision: 40, dataCentres: ['b']});
		t.deepEqual(changes, [
			[10, {evacuated: ['a'], restored: []}],
			[40, {evacuated: ['b'], restored: ['a']}],
		]);
	});
});
