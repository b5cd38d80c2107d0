import {createRouteTable} from '../../src/version/route-table.js';
import type {Route} from '../../src/version/types.js';
import {describe, it} from '../describe.js';

function createRoute(host: string, pathPrefix: string): Route {
	return {
		host, pathPrefix, submission: `${host}${pathPrefix}`, deadline: 1500, attempts: 1, stretch: 1, margin: 0, priority: 0,
	};
}

describe('route table', () => {
	const table = createRouteTable([createRoute('a', '/x/'), createRoute('a', '/x/y/'), createRoute('b', '/')]);

	it('selects the longest matching prefix of the host', t => {
		t.is(table.tryFind('a', '/x/y/1')?.submission, 'a/x/y/');
		t.is(table.tryFind('a', '/x/1')?.submission, 'a/x/');
		t.is(table.tryFind('b', '/x/1')?.submission, 'b/');
	});

	it('finds no route for an unknown host or path', t => {
		t.is(table.tryFind('a', '/z/1'), undefined);
		t.is(table.tryFind('c', '/x/1'), undefined);
	});
});
