/**
 * Stand-in for the platform: serves the table service and the object store from memory over HTTP.
 *
 * `POST /faults` changes faults, for instance `{"down": true}` or `{"clear": true, "slowMs": 200}`.
 * `GET /stats` returns the number of calls.
 */
import fs from 'node:fs';
import process from 'node:process';
import sade from 'sade';
import {parse} from 'smol-toml';
import {z} from 'zod';
import {createSystemClock} from '../src/process/clock.js';
import {createMemoryPlatform} from '../src/process/platform/memory.js';
import type {TableWrite} from '../src/process/platform/types.js';
import {runHttpServer} from './http-server.js';
import {createPlatformApp} from './platform-app.js';

type Options = {
	readonly listen: string;
	readonly 'seed-tokens': string;
};

const seedFileSchema = z.object({rows: z.record(z.string(), z.unknown())});

sade('platform-standin', true)
	.describe('Serves an in-memory platform.')
	.option('--listen', 'Address and port; port 0 lets the system choose', '127.0.0.1:0')
	.option('--seed-tokens', 'TOML or JSON file with the initial rows: a table "rows" of values by key', '')
	.action(async (options: Options) => {
		const platform = createMemoryPlatform({clock: createSystemClock()});
		if (options['seed-tokens'] !== '') {
			await platform.table.commit({conditions: [], writes: readSeedFile(options['seed-tokens'])});
		}

		await runHttpServer('platform-standin', createPlatformApp(platform), options.listen);
	})
	.parse(process.argv);

/** Reads the initial rows; values that are not strings are stored as JSON. */
function readSeedFile(file: string): readonly TableWrite[] {
	const text = fs.readFileSync(file, 'utf8');
	const content: unknown = file.endsWith('.json') ? JSON.parse(text) : parse(text);
	const {rows} = seedFileSchema.parse(content);
	return Object.entries(rows).map(([key, value]) => ({
		key,
		value: typeof value === 'string' ? value : JSON.stringify(value),
	}));
}
