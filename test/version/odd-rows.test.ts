import fc from 'fast-check';
import {readAuditRecord, readHead, readPublishedChangeSet} from '../../src/version/rows.js';
import {decodeSnapshot, encodeSnapshot} from '../../src/version/snapshot-codec.js';
import {applyChanges, createSnapshot} from '../../src/version/snapshot.js';
import {describe, it} from '../describe.js';
import {createOddBytes, createOddTexts, oddInputRuns} from '../odd-input.js';
import {parseChanges, sampleObjectsToml} from './fixtures.js';

const snapshot = applyChanges(createSnapshot(6, []), parseChanges(sampleObjectsToml), 7);

describe('odd input of the configuration', () => {
	it('is a valid snapshot or a diagnostic', t => {
		const valid: unknown = JSON.parse(new TextDecoder().decode(encodeSnapshot(snapshot)));
		fc.assert(fc.property(createOddBytes(valid), bytes => {
			const decoded = decodeSnapshot(bytes, 'test');
			t.true(decoded.isErr() || Number.isSafeInteger(decoded.value.version));
			t.true(decodeSnapshot(encodeSnapshot(snapshot), 'test').isOk());
		}), oddInputRuns);
	});

	it('is a valid row or a diagnostic', t => {
		const readers = [
			{read: readHead, valid: {version: 1, changeSet: 'c', object: 'o'}},
			{read: readPublishedChangeSet, valid: {version: 1, digest: 'd'}},
			{
				read: readAuditRecord, valid: {
					version: 1, changeSet: 'c', author: 'a', reason: 'r', at: 5, changed: [{kind: 'team', name: 't'}], summary: ['s'],
				},
			},
		];
		for (const {read, valid} of readers) {
			fc.assert(fc.property(createOddTexts(valid), value => {
				const found = read({key: 'k', value, revision: 1});
				t.true(found.isErr() || Number.isSafeInteger(found.value.version));
				t.true(read({key: 'k', value: JSON.stringify(valid), revision: 2}).isOk());
			}), oddInputRuns);
		}
	});
});
