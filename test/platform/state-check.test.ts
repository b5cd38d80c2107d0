import {checkState} from '../../src/platform/state-check.js';
import {describe, it} from '../describe.js';

const route = {
	name: 'r-1', host: 'h.example', 'path-prefix': '/a/', 'timeout-ms': 1500, 'slo-ms': 60, priority: 0, upstream: 's', attempts: 3, stretch: 1.6,
};

function createFile(version: number, routes: ReadonlyArray<typeof route>) {
	return {name: `v${version}.json`, text: JSON.stringify({version, routes, upstreams: [{name: 's'}]})};
}

describe('check of the platform\'s configuration', () => {
	it('rejects what processes cannot read', t => {
		t.false(checkState({name: 'x', text: '{'}).isValid);
		t.false(checkState({name: 'x', text: JSON.stringify({version: 1, routes: [route], upstreams: []})}).isValid);
	});

	it('warns of routes that never match, and of nothing that the program itself adds', t => {
		t.deepEqual(checkState(createFile(2, [route])), {isValid: true, lines: ['Version 2 is valid.']});
		const {isValid, lines} = checkState(createFile(2, [route, {...route, name: 'r-2'}]));
		t.true(isValid);
		t.is(lines.length, 2);
		t.regex(lines[1]!, /r-2 never matches/v);
	});

	it('shows what differs from the version in force', t => {
		const next = createFile(3, [{...route, attempts: 2}, {...route, name: 'r-3', 'path-prefix': '/c/'}]);
		t.deepEqual(checkState(next, createFile(2, [route, {...route, name: 'r-2', 'path-prefix': '/b/'}])).lines, [
			'Version 3 is valid and can follow version 2.',
			'~ route r-1 (h.example/a/)',
			'    attempts: 3 -> 2',
			'+ route r-3 (h.example/c/)',
			'- route r-2 (h.example/b/)',
		]);
	});

	it('shows a route whose jobs another upstream runs from now on', t => {
		const createMoved = (version: number, upstream: string) => ({
			name: 'x', text: JSON.stringify({version, routes: [{...route, upstream}], upstreams: [{name: 's'}, {name: 'other'}]}),
		});
		t.true(checkState(createMoved(3, 'other'), createMoved(2, 's')).lines.includes('    service: "s" -> "other"'));
	});

	it('rejects a version that is not higher than the one in force', t => {
		t.false(checkState(createFile(2, [route]), createFile(2, [route])).isValid);
	});
});
