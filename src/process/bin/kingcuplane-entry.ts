#!/usr/bin/env node
/**
 * The entry's program: `kingcuplane-entry SETTINGS`.
 */
import process from 'node:process';
import {createIncarnation} from '../incarnation.js';
import {readEntrySettings} from '../settings.js';
import {runEntry} from '../run-entry.js';
import {
	keepProcessAlive, loadSettings, logUnexpectedErrors, waitForStopSignal, printReady,
} from './program.js';

keepProcessAlive();
const settings = loadSettings('kingcuplane-entry', readEntrySettings);
const incarnation = createIncarnation();
const running = await runEntry(settings, incarnation, () => {
	// Another entry has declared this one dead; the platform starts a new instance.
	process.exit(3);
});
logUnexpectedErrors(running.log, running.flushLog);
printReady('kingcuplane-entry', {
	name: settings.name, incarnation, http: running.http, links: running.links,
});

await waitForStopSignal();
await running.stop();
process.exit(0);
