/**
 * Plays chains of losses around a forwarded job on the real programs: `node dist/dev/chain.js --runs 10 --gap 450`. The exit code
 * is 1 if runs of a task overlapped.
 */
import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import sade from 'sade';
import {z} from 'zod';
import {platformTiming} from '../src/platform/timing.js';
import type {Milliseconds} from '../src/process/clock.js';
import {leaseMs} from '../src/process/executor-lease.js';
import {
	playChain, startChainSystem, type ChainPlan, type Disturbance, type LoggedStop, type PlayedChain, type PlayedTask, type SenderLoss,
} from './chain/chain-play.js';
import {createRandom} from './random.js';

type Options = {
	readonly seed: number;
	readonly runs: number;
	readonly gap: string;
	readonly loss: SenderLoss;
	readonly delay: string;
	readonly pause: string;
	readonly answered: boolean;
	readonly subnet: number;
	readonly logs: string;
};

const delayedSchema = z.enum(['sender', 'agents']);
const pausedSchema = z.enum(['server', 'agents']);
const pauseTimeSchema = z.enum(['before-cut', 'before-server-loss', 'after-server-loss']);

sade('chain', true)
	.describe('Loses the way to a forwarded job hop by hop and checks whether runs of its repeated copy overlap with the first ones.')
	.option('--seed', 'Seed of the times of the first losses between two heartbeats', 1)
	.option('--runs', 'Number of chains for each gap', 5)
	.option('--gap', 'Milliseconds between the losses of the sender and of the serving entry, separated by commas', '450')
	.option('--loss', 'Loss of the sender: reset (it lives on) or kill', 'reset')
	.option('--delay', 'Delay of the messages of the serving entry with others, as "sender:200" or "agents:200"', '')
	.option('--pause', 'Pause, as "server:before-cut:300", with "agents" or "before-server-loss" or "after-server-loss"', '')
	.option('--answered', 'Whether executors answer stop calls all the time, as a control', false)
	.option('--subnet', 'Third byte of the addresses; programs that run at the same time need different ones', 180)
	.option('--logs', 'Folder for the logs of chains with an overlap', 'dist/chain')
	.action(run)
	.parse(process.argv);

async function run({seed, runs, gap: gaps, loss, delay, pause, answered, subnet, logs}: Options): Promise<void> {
	const random = createRandom(seed);
	const system = await startChainSystem(subnet);
	let overlaps = 0;
	try {
		for (const [i, gap] of String(gaps).split(',').map(Number).entries()) {
			const plan: ChainPlan = {
				loss, gap, disturbance: readDisturbance(delay, pause), answersStops: answered,
			};
			const chains: PlayedChain[] = [];
			for (let n = 0; n < runs; n++) {
				const chain = await playChain(system, plan, (i * runs) + n, random);
				chains.push(chain);
				console.log(formatChain(plan, chain));
				if (chain.overlap > 0) {
					fs.mkdirSync(logs, {recursive: true});
					fs.writeFileSync(path.join(logs, `${subnet}-${gap}-${n}.log`), system.describe());
				}
			}

			overlaps += chains.filter(({overlap}) => overlap > 0).length;
			console.log(formatSummary(plan, chains));
		}
	} finally {
		await system.stop();
	}

	process.exit(overlaps === 0 ? 0 : 1);
}

function readDisturbance(delay: string, pause: string): Disturbance {
	if (delay !== '') {
		const [of, duration] = delay.split(':');
		return {kind: 'delay', of: delayedSchema.parse(of), duration: Number(duration)};
	}

	if (pause !== '') {
		const [of, when, duration] = pause.split(':');
		return {
			kind: 'pause', of: pausedSchema.parse(of), when: pauseTimeSchema.parse(when), duration: Number(duration),
		};
	}

	return {kind: 'none'};
}

function formatPlan({loss, gap, disturbance}: ChainPlan): string {
	switch (disturbance.kind) {
		case 'none': {
			return `${loss}, gap ${gap}`;
		}

		case 'delay': {
			return `${loss}, gap ${gap}, delay ${disturbance.of} ${disturbance.duration}`;
		}

		case 'pause': {
			return `${loss}, gap ${gap}, pause ${disturbance.of} ${disturbance.when} ${disturbance.duration}`;
		}
	}
}

function formatChain(plan: ChainPlan, {tasks, overlap, lateness}: PlayedChain): string {
	return [`${overlap > 0 ? 'FAIL' : 'ok'} ${formatPlan(plan)}: overlap ${overlap} ms, faults up to ${lateness} ms late`, ...tasks.map(task => `  ${formatTask(task)}`)].join('\n');
}

function formatTask({
	task, endAfterRetry, overlap, ended, stop, leaseEnd,
}: PlayedTask): string {
	const stopped = stop === undefined
		? 'not stopped'
		: `${stop.cause} ${stop.beforeEnd} ms before; at the end the entry's word was ${stop.entryAgeAtEnd} ms old, the sender's ${stop.senderAgeAtEnd ?? 'not told to be'}`;
	return `${task}: ${ended} ${endAfterRetry} ms after the retry, overlap ${overlap}; ${stopped}; bound by ${getBound(stop)}; lease ${leaseEnd ?? 'renewed'}`;
}

function formatSummary(plan: ChainPlan, chains: readonly PlayedChain[]): string {
	const tasks = chains.flatMap(chain => chain.tasks);
	const stops = tasks.flatMap(({stop}) => stop ?? []);
	const overlaps = chains.filter(({overlap}) => overlap > 0);
	const late = chains.filter(chain => chain.tasks.some(({endAfterRetry}) => endAfterRetry > 0));
	return `= ${formatPlan(plan)} | ${chains.length} runs | ${overlaps.length} overlaps | longest ${Math.max(...chains.map(({overlap}) => overlap))} ms | ${late.length} ended late`
		+ ` | end ${formatRange(tasks.map(({endAfterRetry}) => endAfterRetry))} after the retry | ${formatCounts(tasks.map(({ended}) => ended))}`
		+ ` | stop ${formatCounts(tasks.map(({stop}) => stop?.cause ?? 'none'))} | bound by ${formatCounts(tasks.map(({stop}) => getBound(stop)))}`
		+ ` | entry's word ${formatRange(stops.map(stop => stop.entryAgeAtEnd))}, sender's ${formatRange(stops.flatMap(stop => stop.senderAgeAtEnd ?? []))} old at the end`
		+ ` | lease ${formatCounts(tasks.map(({leaseEnd}) => leaseEnd ?? 'renewed'))}`;
}

/** Returns which permission ended the run: the age of a message, or a stop call without an answer, whichever ended it first. */
function getBound(stop: LoggedStop | undefined): 'entry' | 'sender' | 'stop' | 'none' {
	if (stop === undefined) {
		return 'none';
	}

	const {entryAgeAtEnd, senderAgeAtEnd = 0, beforeEnd} = stop;
	if (platformTiming.maxSilentRunMs! - (Math.max(entryAgeAtEnd, senderAgeAtEnd) - beforeEnd) >= leaseMs) {
		return 'stop';
	}

	return senderAgeAtEnd > entryAgeAtEnd ? 'sender' : 'entry';
}

function formatRange(values: readonly Milliseconds[]): string {
	return values.length === 0 ? '-' : `${Math.min(...values)} to ${Math.max(...values)}`;
}

function formatCounts(values: readonly string[]): string {
	return [...new Set(values)].map(value => `${values.filter(other => other === value).length} ${value}`).join(', ');
}
