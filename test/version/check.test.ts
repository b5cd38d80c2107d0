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
		it('takes the defaults', t => {
			const lines = parseChanges(sampleObjectsToml).map(change => JSON.stringify(change));
			compareWithBaseline(t, 'version/objects-defaults.txt', lines);
		});

		it('names every fault of all files at once', t => {
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
			const {diagnostics: faults} = parseChangeFiles([{name: 'a.toml', text: first}, {name: 'b.toml', text: '[[team]]\nname = lunch\n'}]);
			compareWithBaseline(t, 'version/objects-parse-faults.txt', format(faults));
		});
	});

	describe('check', () => {
		it('passes a whole set', t => {
			t.deepEqual(checkChangeSet(createChangeSet('first', 0, sampleObjectsToml), emptySnapshot), []);
		});

		it('names every fault of a set at once, with its line', t => {
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

		it('adds no faults for references to what could not be read', t => {
			const text = '[[policy]]\nname = "fast"\ncolour = 1\n[[service]]\nname = "a"\npolicy = "fast"\n[[service]]\nname = "b"\npolicy = "slow"\n';
			const {changes, diagnostics: faults, ...options} = parseChangeFiles([{name: 'objects.toml', text}]);
			const changeSet = {
				id: 'set', base: 1, author: 'ana', reason: 'test', changes,
			};
			t.deepEqual([...faults, ...checkChangeSet(changeSet, published, options)].map(fault => [fault.kind, fault.line]), [['FieldUnknown', 3], ['ReferenceBroken', 9]]);
		});

		it('accepts a deletion of objects together with all that refers to them', t => {
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
		it('gives back what was written', t => {
			t.deepEqual(decodeSnapshot(encodeSnapshot(published), 'test')._unsafeUnwrap(), published);
		});

		it('refuses unknown fields, cut text and broken references', t => {
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
	return decodeSnapshot(new TextEncoder().encode(text), 'test').match(() => 'valid', fault => fault.kind);
}

function format(faults: readonly Diagnostic[]): string[] {
	return faults.map(fault => formatDiagnostic(fault));
}
