/**
 * Stand-in for one upstream instance; `upstream-app.ts` describes its HTTP interface.
 */
import process from 'node:process';
import sade from 'sade';
import {createSystemClock} from '../src/process/clock.js';
import {checkDefined} from '../src/process/debug.js';
import {runHttpServer} from './http-server.js';
import {createUpstreamApp} from './upstream-app.js';
import {createUpstream, tryParseRunTimeDistribution} from './upstream.js';

type Options = {
	readonly listen: string;
	readonly slots: number;
	readonly seed: number;
	readonly run: string;
};

sade('upstream-standin', true)
	.describe('Runs tasks for a random time and counts every start.')
	.option('--listen', 'Address and port; port 0 lets the system choose', '127.0.0.1:0')
	.option('--slots', 'Tasks that may run at the same time', 8)
	.option('--seed', 'Seed of the run times', 1)
	.option('--run', 'Run times of tasks whose payload has no runMs: fixed:MS, uniform:MIN:MAX or exponential:MEAN', 'exponential:100')
	.action(async ({listen, slots, seed, run}: Options) => {
		const runTimes = checkDefined(tryParseRunTimeDistribution(run), `--run takes fixed:MS, uniform:MIN:MAX or exponential:MEAN, not "${run}"`);
		const clock = createSystemClock();
		const upstream = createUpstream({
			clock, seed, slots, runTimes,
		});
		const app = createUpstreamApp({upstream, getServer: async () => server});
		const server = runHttpServer('upstream-standin', app, listen);
		await server;
	})
	.parse(process.argv);
