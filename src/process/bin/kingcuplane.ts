#!/usr/bin/env node
/**
 * The command line's program; see `kingcuplane --help`.
 */
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {createEntryClient} from '../cli/entry-client.js';
import {runCli} from '../cli/program.js';
import {createSystemClock} from '../clock.js';
import {createPlatformClient} from '../../platform/platform-client.js';
import {readTextFile} from './read-file.js';

const platformTimeoutMs = 5000;
const keepAliveIntervalMs = 3_600_000;

// The clock's timers do not keep the process running, but publishing waits for them between attempts.
setInterval(() => undefined, keepAliveIntervalMs);
const clock = createSystemClock();
const code = await runCli({
	clock,
	env: process.env,
	readFile: readTextFile,
	print(line) {
		console.log(line);
	},
	printError(line) {
		console.error(line);
	},
	createId: () => randomUUID(),
	openPlatform: url => createPlatformClient({clock, url, timeoutMs: platformTimeoutMs}),
	openEntry: createEntryClient,
}, process.argv);
process.exit(code);
