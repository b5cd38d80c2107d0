import {formatDiagnostic, type Diagnostic} from '../../src/process/diagnostics.js';
import {checkChangeSet} from '../../src/version/check.js';
import {diffChanges} from '../../src/version/diff.js';
import {parseChangeFiles} from '../../src/version/parse.js';
import {decodeSnapshot, encodeSnapshot} from '../../src/version/snapshot-codec.js';
import {
	applyChanges, createSnapshot, emptySnapshot, getObjects,
} from '../../src/version/snapshot.js';
import {compareWithBaseline} from '../baseline.js';
import {describe, it} from '../describe.js';
import {createChangeSet, sampleObjectsToml, parseChanges} from './fixtures.js';

const published = applyChanges(emptySnapshot, parseChanges(sampleObjectsToml), 1);

describe('objects', () => {
	describe('parse', () => {
		it('applies the defaults', t => {
			const lines = parseChanges(sampleObjectsToml).map(change => JSON.stringify(change));
			compareWithBaseline(t, 'version/objects-defaults.txt', lines);
		});

		it('reports all diagnostics of all files together', t => {
			const first = [
				'[[services]]',
				'name = "ordering"',
				'[policy]',
				'name = "default"',
				'[[upstream]]',
				'name = "ordering-1"',
				'slot = 8',
				'drain = "yes"',
				'[[submission]]',
				'service = "ordering"',
				'team = "lunch"',
				'deadline = 5',
				'[[delete]]',
				'kind = "tent"',
				'name = "x"',
			].join('\n');
			const {diagnostics} = parseChangeFiles([{name: 'a.toml', text: first}, {name: 'b.toml', text: '[[team]]\nname = lunch\n'}]);
			compareWithBaseline(t, 'version/objects-parse-faults.txt', format(diagnostics));
		});
	});

	describe('check', () => {
		it('accepts a complete change set', t => {
			t.deepEqual(checkChangeSet(createChangeSet('first', 0, sampleObjectsToml), emptySnapshot), []);
		});

		it('reports all diagnostics of a change set together, with their lines', t => {
			const text = [
				'[[service]]',
				'name = "Ordering!"',
				'policy = "defualt"',
				'maxTasksPerJob = 0',
				'[[upstream]]',
				'name = "ordering-1"',
				'service = "ordering"',
				'slots = 8',
				'[[upstream]]',
				'name = "ordering-1"',
				'service = "ordering"',
				'slots = 9',
				'[[submission]]',
				'name = "slow"',
				'service = "ordering"',
				'team = "lunch"',
				'deadlineMs = 1000',
				'expectedRunMs = 2000',
				'[[delete]]',
				'kind = "policy"',
				'name = "default"',
				'[[delete]]',
				'kind = "team"',
				'name = "dinner"',
			].join('\n');
			const {changes, ...options} = parseChangeFiles([{name: 'objects.toml', text}]);
			const changeSet = {
				id: 'BAD', base: 1, author: '', reason: ' ', changes,
			};
			compareWithBaseline(t, 'version/objects-check-faults.txt', format(checkChangeSet(changeSet, published, options)));
		});

		it('reports no broken references to objects that could not be parsed', t => {
			const text = '[[policy]]\nname = "fast"\ncolour = 1\n[[service]]\nname = "a"\npolicy = "fast"\n[[service]]\nname = "b"\npolicy = "slow"\n';
			const {changes, diagnostics, ...options} = parseChangeFiles([{name: 'objects.toml', text}]);
			const changeSet = {
				id: 'set', base: 1, author: 'ana', reason: 'test', changes,
			};
			t.deepEqual([...diagnostics, ...checkChangeSet(changeSet, published, options)].map(diagnostic => [diagnostic.kind, diagnostic.line]), [['FieldUnknown', 3], ['ReferenceBroken', 9]]);
		});

		it('accepts the deletion of an object together with all objects that refer to it', t => {
			const text = '[[delete]]\nkind = "upstream"\nname = "ordering-1"\n[[delete]]\nkind = "submission"\nname = "confirm"\n[[delete]]\nkind = "service"\nname = "ordering"\n';
			t.deepEqual(checkChangeSet(createChangeSet('close', 1, text), published), []);
		});
	});

	describe('diff', () => {
		it('lists additions, changes and deletions', t => {
			const text = `
[[team]]
name = "dinner"
maxTasks = 5
[[policy]]
name = "default"
deadlineMs = 20000
placement = "messages"
[[service]]
name = "ordering"
policy = "default"
[[delete]]
kind = "upstream"
name = "ordering-1"
`;
			compareWithBaseline(t, 'version/objects-diff.txt', diffChanges(parseChanges(text), published));
		});
	});

	describe('codec', () => {
		it('decodes what it has encoded', t => {
			t.deepEqual(decodeSnapshot(encodeSnapshot(published), 'test')._unsafeUnwrap(), published);
		});

		it('rejects unknown fields, truncated text and broken references', t => {
			const text = new TextDecoder().decode(encodeSnapshot(published));
			const broken = encodeSnapshot(createSnapshot(2, getObjects(published).filter(object => object.kind !== 'policy')));
			t.is(decode(text.replace('"slots":8', '"slots":8,"colour":1')), 'SnapshotInvalid');
			t.is(decode(text.slice(0, -1)), 'SnapshotInvalid');
			t.is(decode(new TextDecoder().decode(broken)), 'SnapshotInvalid');
			t.is(decode(text), 'valid');
		});
	});
});

function decode(text: string): string {
	return decodeSnapshot(new TextEncoder().encode(text), 'test').match(() => 'valid', diagnostic => diagnostic.kind);
}

function format(diagnostics: readonly Diagnostic[]): string[] {
	return diagnostics.map(diagnostic => formatDiagnostic(diagnostic));
}
