/**
 * Demonstrates both deployments of the examples: starts a system of separate processes, publishes its objects,
 * submits a request and a job of 1,100 tasks, and prints the answers and the record report of the request, queried
 * at another entry.
 */
import {Buffer} from 'node:buffer';
import fs from 'node:fs';
import process from 'node:process';
import {z} from 'zod';
import {startProgram} from './processes.js';
import {startSystem, type System} from './system.js';

type Deployment = {
	readonly name: string;
	readonly service: string;
	readonly team: string;
	readonly submission: string;
	readonly dataCentres: readonly string[];
};

const deployments: readonly Deployment[] = [
	{
		name: 'baonhan', service: 'ordering', team: 'office-lunch', submission: 'confirm-order', dataCentres: ['makati', 'bgc', 'ortigas', 'alabang'],
	},
	{
		name: 'canopy', service: 'booking', team: 'families', submission: 'confirm-booking', dataCentres: ['brisbane', 'toowoomba', 'townsville', 'cairns'],
	},
];

const jobTasks = 1100;

const replySchema = z.object({
	state: z.string(),
	ran: z.string(),
	tasks: z.array(z.object({payload: z.string()})).default([]),
	diagnostic: z.object({message: z.string()}).optional(),
});

for (const deployment of deployments) {
	await demonstrate(deployment);
}

process.exit(0);

async function demonstrate(deployment: Deployment): Promise<void> {
	console.log(`\n== ${deployment.name}: 4 entries, 11 agents, each upstream with 8 slots ==`);
	const system = await startSystem({
		entries: 4,
		agents: 11,
		slots: 8,
		runTimes: 'exponential:100',
		seed: 1,
		service: deployment.service,
		team: deployment.team,
		dataCentres: deployment.dataCentres,
		objects: fs.readFileSync(new URL(`../../examples/${deployment.name}/objects.toml`, import.meta.url), 'utf8'),
	});
	try {
		const [ticket, jobTicket] = await issueTickets(system, 2);
		console.log('\nOne request:');
		console.log(describe(await submit(system, deployment, ticket!, ['order 4711: pork sisig, 2 portions'])));
		console.log(`\nA job of ${jobTasks} tasks:`);
		console.log(describe(await submit(system, deployment, jobTicket!, Array.from({length: jobTasks}, (_, i) => `task ${i}`))));
		console.log('\nThe record of the request, queried at another entry (kingcuplane trace):');
		await runCommand(['trace', ticket!, '--entry', system.entries[1]!.url, '--token', system.tokens.support]);
		console.log('\nThe active configuration version of each process (kingcuplane status):');
		await runCommand(['status', '--entry', system.entries[2]!.url, '--token', system.tokens.support]);
	} finally {
		await system.stop();
	}
}

async function issueTickets(system: System, count: number): Promise<readonly string[]> {
	const json = await post(system, '/v1/tickets', {count});
	return z.object({tickets: z.array(z.string())}).parse(json).tickets;
}

type DemoReply = z.infer<typeof replySchema> & {readonly ms: number};

async function submit(system: System, {submission}: Deployment, ticket: string, tasks: readonly string[]): Promise<DemoReply> {
	const startedAt = Date.now();
	const json = await post(system, '/v1/submissions', {
		ticket, submission, reference: 'demonstration', tasks: tasks.map(task => ({payload: Buffer.from(task).toString('base64')})),
	});
	return {...replySchema.parse(json), ms: Date.now() - startedAt};
}

async function post(system: System, path: string, body: unknown): Promise<unknown> {
	const res = await fetch(`${system.entries[0]!.url}${path}`, {
		method: 'POST', headers: {authorization: `Bearer ${system.tokens.caller}`}, body: JSON.stringify(body),
	});
	return res.json();
}

function describe({state, ran, tasks, diagnostic, ms}: DemoReply): string {
	const first = tasks[0] === undefined ? '' : `; the first is ${Buffer.from(tasks[0].payload, 'base64').toString()}`;
	return `${state} (${ran}) after ${ms} ms, ${tasks.length} answers${first}${diagnostic === undefined ? '' : `; ${diagnostic.message}`}`;
}

async function runCommand(args: readonly string[]): Promise<void> {
	const program = startProgram('src/process/bin/kingcuplane.js', args);
	await program.waitForExit();
	console.log(program.lines.join('\n'));
}
