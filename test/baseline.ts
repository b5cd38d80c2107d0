/**
 * Compares output with the reviewed files under test/baselines. UPDATE_BASELINES=1 rewrites the files for review.
 */
import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import type {ExecutionContext} from 'ava';

const folder = path.resolve('test/baselines');

/** Fails the test unless `lines` equal the baseline file `name`. */
export function compareWithBaseline(t: ExecutionContext, name: string, lines: readonly string[]): void {
	const file = path.join(folder, name);
	const text = `${lines.join('\n')}\n`;
	if (process.env.UPDATE_BASELINES === '1') {
		fs.writeFileSync(file, text);
	}

	t.is(text, fs.readFileSync(file, 'utf8'));
}
