/**
 * A forwarded job whose chain of client, forwarding entry, serving entry and agent is lost at two places, one shortly after the
 * other. The client repeats its job 1.3 s after the first loss, when all earlier runs must have ended.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {overlapRule, findLeasedViolations} from './leased/checker.js';
import {createClients, type Clients} from './leased/clients.js';
import {
	createLeasedCluster, agentNames, type InjectedDefects, type LeasedCluster,
} from './leased/cluster.js';

/** A cluster in which e2 serves the only job, which e1 has forwarded. Its client repeats it at e3. */
export type Chain = {readonly cluster: LeasedCluster; readonly clients: Clients};

/** How a chain differs from the usual one. */
export type ChainOptions = {
	readonly defects?: InjectedDefects;
	/** Processor time of each message and timer; none if undefined. */
	readonly actionCostMs?: Milliseconds;
};

/** Delay after which nothing notices a loss but by its own timeouts. */
export const unnoticedMs: Milliseconds = 60_000;
export const longRunMs: Milliseconds = 4000;
/** Times between the two losses. */
export const gapsMs: readonly Milliseconds[] = [0, 200, 300, 400, 450, 500, 550, 600, 650, 700];
/** Time from the last loss until the repeated job certainly runs. */
const repeatedWithinMs: Milliseconds = 1500;

/** How the chain between the client and the serving entry e2 is lost, so that e2 notices it only by the silence. */
export const senderLosses: Readonly<Record<string, (chain: Chain) => void>> = {
	'the sender loses its power'({cluster}) {
		cluster.kill('e1', unnoticedMs, unnoticedMs);
	},
	'the stream is reset at the sender only'({cluster}) {
		cluster.network.cut('e1', 'e2', [0, unnoticedMs], unnoticedMs);
	},
	'the client hangs up while the stream is silent'({cluster, clients}) {
		cluster.network.silence('e1', 'e2', 'server');
		clients.resetConnections(cluster.getEntry('e1'));
	},
};

/** How the agents lose the serving entry, which they notice only by its silence. */
export const serverLosses: Readonly<Record<string, (chain: Chain) => void>> = {
	'the server loses its power'({cluster}) {
		cluster.kill('e2', unnoticedMs, unnoticedMs);
	},
	'the server is cut from the agents'({cluster}) {
		for (const agent of agentNames) {
			cluster.network.cut(agent, 'e2', [unnoticedMs, unnoticedMs], unnoticedMs);
		}
	},
};

/** Starts a cluster in which e2 serves a job that e1 has forwarded, and whose client repeats it at e3. */
export async function forwardJob(seed: number, {defects, actionCostMs}: ChainOptions = {}): Promise<Chain> {
	const utilization: Record<string, number> = {e1: 1, e2: 0, e3: 1};
	const clients: Clients = createClients(() => cluster);
	const cluster = await createLeasedCluster(seed, clients.breakConnections, {
		defects, entryActionCostMs: actionCostMs, agentActionCostMs: actionCostMs, loadSharing: {coordinationCostMs: 0, getLoad: (_random, entry) => ({utilization: utilization[entry]!, delay: 0})},
	});
	for (const executor of cluster.executors.values()) {
		executor.sampleRun = () => ({length: longRunMs, fails: false});
	}

	await cluster.advance(2000);
	clients.submit(4, {entry: 'e1', repeatEntry: 'e3', expectedRun: longRunMs});
	await cluster.advance(500);
	if (cluster.getEntry('e2').coordinator.getOpenJobs() !== 1) {
		throw new Error('e1 has not forwarded the job to e2');
	}

	utilization.e3 = 0.1;
	return {cluster, clients};
}

/** Lets no executor answer a stop call from now on. */
export function loseStopCalls({cluster}: Chain): void {
	for (const executor of cluster.executors.values()) {
		executor.unansweredCalls.stop = Infinity;
	}
}

/** Waits for the repeated job, and describes each run that began beside an earlier one of its task. */
export async function findOverlaps({cluster, clients}: Chain): Promise<readonly string[]> {
	await cluster.advance(repeatedWithinMs);
	if (clients.jobs[0]!.replies.length === 0) {
		throw new Error('the client has not repeated its job');
	}

	return findLeasedViolations(cluster, clients.jobs, [], false).filter(({rule}) => rule === overlapRule).map(({subject, detail}) => `${subject}: ${detail}`);
}
