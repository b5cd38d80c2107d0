#!/usr/bin/env node
/**
 * The agent's program: `kingcuplane-agent SETTINGS`.
 */
import process from 'node:process';
import {createUpstreamClient} from '../../request/upstream-client.js';
import {createAgent} from '../agent.js';
import {createSystemClock} from '../clock.js';
import {createEntryAddressReader} from '../entry-directory.js';
import {createIncarnation} from '../incarnation.js';
import {createLog} from '../log.js';
import {createLogStream} from '../log-stream.js';
import {createMetrics} from '../metrics.js';
import {createPlatformClient} from '../../platform/platform-client.js';
import {readAgentSettings} from '../settings.js';
import {
	keepProcessAlive, loadSettings, logUnexpectedErrors, waitForStopSignal, printReady,
} from './program.js';

keepProcessAlive();
const settings = loadSettings('kingcuplane-agent', readAgentSettings);
const clock = createSystemClock();
const logStream = createLogStream(clock);
const log = createLog('kingcuplane-agent', settings.name, settings.log, logStream);
logUnexpectedErrors(log, logStream.flushNow);
const metrics = createMetrics({
	settings: settings.metrics,
	tags: {role: 'agent', process: settings.name},
	onError(err) {
		log.warn({err}, 'metrics were lost');
	},
});
const platform = createPlatformClient({...settings.platform, clock});
const upstream = createUpstreamClient({clock, ...settings.upstreamServer});
const incarnation = createIncarnation();
const agent = createAgent({
	clock,
	settings,
	incarnation,
	upstream,
	log,
	metrics,
	random: Math.random,
	readEntryDirectory: createEntryAddressReader({table: platform.table, log}),
	defer: setImmediate,
});
log.info({incarnation, upstream: settings.upstream}, 'agent started');
printReady('kingcuplane-agent', {name: settings.name, incarnation});

await waitForStopSignal();
const report = await agent.drain();
log.info({report}, 'agent drained');
agent.stop();
await upstream.close();
await platform.close();
await metrics.close();
logStream.flushNow();
process.exit(0);
