#!/usr/bin/env node
/**
 * The command line's program; see `kingcuplane --help`.
 */
import {randomUUID} from 'node:crypto';
import fs from 'node:fs';
import process from 'node:process';
import {err, ok} from 'neverthrow';
import {createEntryClient} from '../cli/entry-client.js';
import {runCli} from '../cli/program.js';
import {createSystemClock} from '../clock.js';
import {createDiagnostic, Diagnostics} from '../diagnostics.js';
import {createPlatformClient} from '../../platform/platform-client.js';

const platformTimeoutMs = 5000;
const keepAliveIntervalMs = 3_600_000;

// The clock's timers do not keep the process running, but publishing waits for them between attempts.
setInterval(() => undefined, keepAliveIntervalMs);
const clock = createSystemClock();
const code = await runCli({
	clock,
	env: process.env,
	readFile(name) {
		try {
			return ok(fs.readFileSync(name, 'utf8'));
		} catch (err_) {
			return err(createDiagnostic(Diagnostics.File_cannot_be_read, name, err_ instanceof Error ? err_.message : String(err_)));
		}
	},
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
