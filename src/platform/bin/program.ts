/**
 * The program on the platform: `kingcuplane-platform entry` or `kingcuplane-platform agent`. The environment variable
 * KINGCUPLANE_CONFIG holds the path of the settings file.
 */
import fs from 'node:fs';
import process from 'node:process';
import {keepProcessAlive, logUnexpectedErrors, waitForStopSignal} from '../../process/bin/program.js';
import {createSystemClock} from '../../process/clock.js';
import {formatDiagnostic} from '../../process/diagnostics.js';
import {createIncarnation} from '../../process/incarnation.js';
import {createLog} from '../../process/log.js';
import {createLogStream} from '../../process/log-stream.js';
import {runPlatformAgent} from '../run-agent.js';
import {runPlatformEntry} from '../run-entry.js';
import {readMachineSettings, type MachineSettings} from '../settings.js';

keepProcessAlive();
const stream = createLogStream(createSystemClock());
const role = process.argv[2] ?? '';
const file = process.env.KINGCUPLANE_CONFIG ?? '';
const machine = loadMachine();
const incarnation = createIncarnation();
const log = createLog(`kingcuplane-${role}`, machine.name, {level: 'info'}, stream);
logUnexpectedErrors(log, stream.flushNow);
process.on('SIGHUP', () => {
	// Seeds and bounds are read only at start; a running process keeps the entries that it has found since. The service of an executor
	// is read again when a heartbeat names another one.
	log.info({file}, 'settings changed; they are read at the next start');
});
// The bundle is a CommonJS module, for which V8's code cache can be used, so there is no top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
main().catch((err: unknown) => {
	log.error({err}, 'the program failed');
	stream.flushNow();
	process.exit(1);
});

async function main(): Promise<void> {
	const running = await start();
	log.info({incarnation, role}, 'started');

	await waitForStopSignal();
	log.info({incarnation}, 'stop signal received');
	await running.stop();
	log.info({incarnation}, 'stopped');
	stream.flushNow();
	process.exit(0);
}

function readSettings(): ReturnType<typeof readMachineSettings> {
	return readMachineSettings(fs.existsSync(file) ? fs.readFileSync(file, 'utf8') : '');
}

function loadMachine(): MachineSettings {
	return readSettings().match(settings => settings, diagnostics => {
		console.error(diagnostics.map(diagnostic => formatDiagnostic(diagnostic)).join('\n'));
		process.exit(2);
	});
}

async function start(): Promise<{stop(): Promise<void>}> {
	switch (role) {
		case 'entry': {
			return runPlatformEntry(machine, incarnation, log, () => {
				log.error({incarnation}, 'another entry declared this one dead');
				stream.flushNow();
				process.exit(3);
			});
		}

		case 'agent': {
			return runPlatformAgent(machine, log, () => readSettings().unwrapOr(machine).service);
		}

		default: {
			console.error('usage: kingcuplane-platform entry|agent');
			return process.exit(2);
		}
	}
}
