import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import type {ExecutionContext} from 'ava';
import {runCases} from '../../dev/review-cases.js';
import {describe, it} from '../describe.js';

function createFolder(t: ExecutionContext, codes: Readonly<Record<string, number>>): string {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kingcuplane-'));
	t.teardown(() => {
		fs.rmSync(folder, {recursive: true});
	});
	for (const [name, code] of Object.entries(codes)) {
		fs.mkdirSync(path.join(folder, name));
		fs.writeFileSync(path.join(folder, name, 'run.sh'), `cd "$(dirname "$0")" && echo new > record.txt && echo "case ${name}" && exit ${code}\n`);
	}

	fs.mkdirSync(path.join(folder, 'harness'));
	return folder;
}

describe('runs of the cases of the review', () => {
	it('count by exit code how often a rule was broken, and runs without a result', async t => {
		const folder = createFolder(t, {1: 0, 2: 1, 3: 2});
		const lines: string[] = [];
		const results = await runCases({
			folder,
			names: [],
			runs: 2,
			busy: 1,
			onRun(name, code, lastLine) {
				lines.push(`${name} ${code} ${lastLine}`);
			},
		});
		t.deepEqual(results, [
			{
				name: '1', runs: 2, broken: 0, notRun: 0,
			},
			{
				name: '2', runs: 2, broken: 2, notRun: 0,
			},
			{
				name: '3', runs: 2, broken: 0, notRun: 2,
			},
		]);
		t.deepEqual(lines, ['1 0 case 1', '1 0 case 1', '2 1 case 2', '2 1 case 2', '3 2 case 3', '3 2 case 3']);
	});

	it('leave the committed records as they are, and no others behind', async t => {
		const folder = createFolder(t, {1: 1, 2: 0});
		const committed = path.join(folder, '1/record.txt');
		fs.writeFileSync(committed, 'committed\n');
		await runCases({
			folder, names: [], runs: 1, busy: 0, onRun: () => undefined,
		});
		t.is(fs.readFileSync(committed, 'utf8'), 'committed\n');
		t.false(fs.existsSync(path.join(folder, '2/record.txt')));
	});

	it('can be limited to some cases', async t => {
		const folder = createFolder(t, {1: 1, 2: 0});
		const results = await runCases({
			folder, names: ['2'], runs: 1, busy: 0, onRun: () => undefined,
		});
		t.deepEqual(results.map(({name}) => name), ['2']);
	});
});
