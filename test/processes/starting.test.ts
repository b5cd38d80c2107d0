import {execFileSync} from 'node:child_process';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {startProgram} from '../../dev/processes.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {describe, it} from '../describe.js';

/** Time within which a signal arrives. */
const signalMs: Milliseconds = 20;

describe('a program on the platform that is starting', () => {
	// Guards against an end by a signal about changed settings that comes before the program has read its settings (soak, seed 4015).
	for (const role of ['entry', 'agent']) {
		it(`as ${role} survives a signal about changed settings`, async t => {
			const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kingcuplane-'));
			const settings = path.join(folder, 'settings');
			execFileSync('mkfifo', [settings]);
			const program = startProgram('src/platform/bin/kingcuplane-platform.js', [role], {KINGCUPLANE_CONFIG: settings});
			// Opens once the program reads its settings.
			const pipe = await fs.promises.open(settings, 'w');
			program.signal('SIGHUP');
			await sleep(signalMs);
			await pipe.write('node=x\n');
			await pipe.close();
			// The settings are incomplete, so the program ends with the code for that.
			t.deepEqual(await program.waitForExit(), {code: 2, signal: undefined});
			fs.rmSync(folder, {recursive: true});
		});
	}
});
