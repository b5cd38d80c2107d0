/**
 * Caller of a system under test.
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {startProgram} from '../../dev/processes.js';
import type {System, SystemAgent, SystemEntry} from '../../dev/system.js';

/** Configuration objects of a service whose submissions are not idempotent. */
export const testObjects = `
[[policy]]
name = "default"
[[service]]
name = "ordering"
policy = "default"
[[team]]
name = "lunch"
maxTasks = 20000
[[submission]]
name = "confirm"
service = "ordering"
team = "lunch"
`;

const replySchema = z.object({
	ticket: z.string().optional(),
	state: z.enum(['complete', 'failed', 'refused', 'running']),
	ran: z.enum(['not-run', 'ran', 'may-have-run']),
	tasks: z.array(z.object({payload: z.string()})).optional(),
	diagnostic: z.object({kind: z.string(), message: z.string()}).optional(),
});

/** A reply of the interface for callers. */
export type TestReply = z.infer<typeof replySchema>;

const recordSchema = z.object({fate: z.object({deliveries: z.array(z.unknown())})});
const statusSchema = z.object({processes: z.array(z.object({version: z.number()}))});
const echoSchema = z.object({task: z.string(), payload: z.string()});
const countsSchema = z.object({
	total: z.number(),
	greatest: z.number(),
	tasks: z.record(z.string(), z.unknown()),
});

/** Calls the entries of one system. */
export type TestCaller = {
	issueTickets(entry: SystemEntry, count: number): Promise<readonly string[]>;
	submit(entry: SystemEntry, ticket: string, tasks: readonly string[], signal?: AbortSignal): Promise<TestReply>;
	/** Submits again, to each of `entries` in turn, until a reply is final. */
	submitUntilFinal(entries: readonly SystemEntry[], ticket: string, tasks: readonly string[]): Promise<TestReply>;
	cancel(entry: SystemEntry, ticket: string): Promise<void>;
	/** Returns how many deliveries of the answer the submission record lists. */
	countDeliveries(entry: SystemEntry, ticket: string): Promise<number>;
	/** Polls an entry until it reports this version as active in at least `processes` processes, including itself. */
	waitForVersion(entry: SystemEntry, version: number, processes: number): Promise<void>;
};

const retryMs = 200;
const maxTries = 150;

/** Creates a caller with the system's caller token. */
export function createTestCaller(system: System): TestCaller {
	const headers = {authorization: `Bearer ${system.tokens.caller}`};

	return {
		async issueTickets(entry, count) {
			const res = await fetch(`${entry.url}/v1/tickets`, {method: 'POST', headers, body: JSON.stringify({count})});
			return z.object({tickets: z.array(z.string())}).parse(await res.json()).tickets;
		},
		submit,
		async submitUntilFinal(entries, ticket, tasks) {
			for (let i = 0; i < maxTries; i++) {
				const reply = await submit(entries[i % entries.length]!, ticket, tasks).catch(() => undefined);
				if (reply !== undefined && reply.state !== 'running' && reply.diagnostic?.kind !== 'HomeUnreachable') {
					return reply;
				}

				await new Promise(resolve => {
					setTimeout(resolve, retryMs);
				});
			}

			throw new Error(`${ticket} got no final answer`);
		},
		async cancel(entry, ticket) {
			await fetch(`${entry.url}/v1/submissions/${ticket}`, {method: 'DELETE', headers});
		},
		async countDeliveries(entry, ticket) {
			const res = await fetch(`${entry.url}/v1/submissions/${ticket}/fate`, {headers});
			return recordSchema.parse(await res.json()).fate.deliveries.length;
		},
		async waitForVersion(entry, version, processes) {
			for (let i = 0; i < maxTries; i++) {
				const res = await fetch(`${entry.url}/v1/status`, {headers});
				const status = statusSchema.parse(await res.json());
				if (status.processes.filter(process => process.version === version).length >= processes) {
					return;
				}

				await new Promise(resolve => {
					setTimeout(resolve, retryMs);
				});
			}

			throw new Error(`version ${version} is not active everywhere`);
		},
	};

	async function submit(entry: SystemEntry, ticket: string, tasks: readonly string[], signal?: AbortSignal): Promise<TestReply> {
		const res = await fetch(`${entry.url}/v1/submissions`, {
			method: 'POST',
			headers,
			signal,
			body: JSON.stringify({
				ticket, submission: 'confirm', tasks: tasks.map(task => ({payload: Buffer.from(task).toString('base64')})),
			}),
		});
		return replySchema.parse(await res.json());
	}
}

/** Returns the output of `kingcuplane trace` from this entry. */
export async function getTraceOutput(system: System, entry: SystemEntry, ticket: string): Promise<string> {
	const program = startProgram('src/process/bin/kingcuplane.js', ['trace', ticket, '--entry', entry.url, '--token', system.tokens.support]);
	await program.waitForExit();
	return program.lines.join('\n');
}

/** Sets the injected faults of the upstream beside an agent. */
export async function setUpstreamFaults(agent: SystemAgent, faults: Readonly<Record<string, boolean | number>>): Promise<void> {
	await fetch(`${agent.upstreamUrl}/faults`, {method: 'POST', body: JSON.stringify(faults)});
}

/** Returns the tasks that a complete reply answers, as "<ticket>/<index> <payload>". */
export function getEchoes(reply: TestReply): readonly string[] {
	return (reply.tasks ?? []).map(task => {
		const echo = echoSchema.parse(JSON.parse(Buffer.from(task.payload, 'base64').toString()));
		return `${echo.task} ${Buffer.from(echo.payload, 'base64').toString()}`;
	});
}

/** Waits until the upstreams have counted at least `total` starts. */
export async function waitForStarts(agents: readonly SystemAgent[], total: number): Promise<void> {
	for (let i = 0; i < maxTries; i++) {
		const counted = await countStarts(agents);
		if (counted.total >= total) {
			return;
		}

		await new Promise(resolve => {
			setTimeout(resolve, retryMs);
		});
	}

	throw new Error(`fewer than ${total} starts were counted`);
}

/** Returns the starts that the upstreams counted: in total, and the most of any one task. */
export async function countStarts(agents: readonly SystemAgent[]): Promise<{readonly total: number; readonly greatest: number}> {
	const counts = await Promise.all(agents.map(async agent => {
		const res = await fetch(`${agent.upstreamUrl}/counts`);
		return countsSchema.parse(await res.json());
	}));
	const starts = new Map<string, number>();
	for (const {tasks} of counts) {
		for (const task of Object.keys(tasks)) {
			starts.set(task, (starts.get(task) ?? 0) + 1);
		}
	}

	return {
		total: counts.reduce((sum, {total}) => sum + total, 0),
		greatest: Math.max(0, ...counts.map(({greatest}) => greatest), ...starts.values()),
	};
}
