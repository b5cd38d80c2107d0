/**
 * Stand-in for one executor of the platform: accepts start and stop calls and polls over HTTP and sends heartbeats to
 * its agent. A task's spec is JSON with `ms`, the run time in milliseconds, `fails`, and `crashes` if it ends the executor,
 * which is back after a while as another incarnation. `GET /events` returns all starts and ends of runs. `PUT /room` sets the
 * processors; `PUT /faults` with `losesStops` lets stop calls have neither an effect nor an answer; `PUT /restart` lets it crash and
 * be back `downMs` later under its identifier, with its first heartbeat `announceMs` after that.
 */
import process from 'node:process';
import {Hono} from 'hono';
import sade from 'sade';
import {z} from 'zod';
import {createSystemClock, type Milliseconds} from '../src/process/clock.js';
import {readJson} from '../src/process/json.js';
import {
	createMemoryExecutor, type ExecutorEvent, type ExecutorReply, type MemoryExecutor,
} from './executor.js';
import {runHttpServer, type HttpEnv} from './http-server.js';

type Options = {
	readonly listen: string;
	readonly agent: string;
	readonly id: string;
	readonly service: string;
	readonly cpu: number;
	readonly beat: number;
	readonly down: number;
	readonly announce: string;
};

const specSchema = z.object({ms: z.number(), fails: z.boolean().default(false), crashes: z.boolean().default(false)});
const roomSchema = z.object({cpu: z.number()});
const faultsSchema = z.object({losesStops: z.boolean()});
const restartSchema = z.object({downMs: z.number(), announceMs: z.number()});
const commandSchema = z.object({
	task: z.string(), run: z.number(), spec: z.string().optional(), 'expires-at-ms': z.number().optional(), 'fence-token': z.number().optional(),
});
const pollSchema = commandSchema.omit({task: true, run: true}).extend({'seen-upto': z.number().optional(), 'wait-ms': z.number().optional()});

/** Enough for the answer to a call that breaks all connections. */
const answerMs: Milliseconds = 5;

sade('executor-standin', true)
	.describe('Runs tasks under leases and announces itself to its agent.')
	.option('--listen', 'Address and port; port 0 lets the system choose', '127.0.0.1:0')
	.option('--agent', 'Address and port of the agent', '127.0.0.1:0')
	.option('--id', 'Identifier of the executor', 'i-1')
	.option('--service', 'Service whose tasks the executor runs', 'work')
	.option('--cpu', 'Processors in thousandths of a core', 16_000)
	.option('--beat', 'Milliseconds between heartbeats', 300)
	.option('--down', 'Milliseconds from a crash to the next start', 500)
	.option('--announce', 'Address and port to announce instead of the own ones', '')
	.action(async (options: Options) => {
		const clock = createSystemClock();
		let {cpu} = options;
		let isDown = false;
		let losesStops = false;
		let restartPlan = {downMs: options.down, announceMs: 0};
		let announcesFrom = -Infinity;
		let startedAt = Math.floor(clock.wall());
		let executor = launch();
		const endedEvents: ExecutorEvent[] = [];
		const app = new Hono<HttpEnv>();
		app.post('/v1/run-start', async c => toResponse(executor.start(commandSchema.parse(await c.req.json()))));
		app.post('/v1/run-stop', async c => {
			const command = commandSchema.parse(await c.req.json());
			return losesStops ? waitForAbort(c.req.raw.signal) : toResponse(executor.stop(command));
		});
		app.post('/v1/hold', async c => toResponse(await executor.poll(pollSchema.parse(await c.req.json()))));
		app.get('/events', c => c.json([...endedEvents, ...executor.events].slice(Number(c.req.query('from') ?? 0))));
		app.put('/room', async c => {
			({cpu} = roomSchema.parse(await c.req.json()));
			return c.json({});
		});
		app.put('/faults', async c => {
			({losesStops} = faultsSchema.parse(await c.req.json()));
			return c.json({});
		});
		app.put('/restart', async c => {
			restartPlan = restartSchema.parse(await c.req.json());
			// Answers first, since the crash breaks all connections.
			clock.after(answerMs, () => {
				executor.crash();
			});
			return c.json({});
		});
		const server = await runHttpServer('executor-standin', app, options.listen);
		let sequence = 0;
		let state = 'ready';
		process.on('SIGUSR2', () => {
			state = 'draining';
		});
		setInterval(() => {
			void sendHeartbeat();
		}, options.beat);
		await sendHeartbeat();

		function launch(): MemoryExecutor {
			return createMemoryExecutor({
				clock,
				startedAt,
				readSpec: spec => readJson(specSchema, spec).unwrapOr({ms: 100, fails: false, crashes: false}),
				onCrash: restart,
			});
		}

		function restart(): void {
			const {downMs, announceMs} = restartPlan;
			restartPlan = {downMs: options.down, announceMs: 0};
			isDown = true;
			endedEvents.push(...executor.events);
			server.goDownFor(downMs);
			clock.after(downMs, () => {
				isDown = false;
				sequence = 0;
				startedAt = Math.floor(clock.wall());
				executor = launch();
				announcesFrom = clock.now() + announceMs;
				clock.after(announceMs, () => {
					void sendHeartbeat();
				});
			});
		}

		async function sendHeartbeat(): Promise<void> {
			if (isDown || clock.now() < announcesFrom) {
				return;
			}

			sequence++;
			const body = {
				upstream: options.service,
				addr: options.announce === '' ? new URL(server.url).host : options.announce,
				zone: 'z',
				version: 'v1',
				slots: 8,
				state,
				'cold-left-ms': 0,
				seq: sequence,
				born: startedAt,
				room: {cpu, 'mem-mb': 65_536, gpu: 0},
				labels: ['a', 'r1'],
			};
			try {
				const res = await fetch(`http://${options.agent}/v1/Executors.Heartbeat/${options.id}`, {method: 'POST', body: JSON.stringify(body)});
				if (state === 'draining' && res.ok) {
					console.log('draining is acknowledged');
				}
			} catch {
				// The agent is down; the next heartbeat tries again.
			}
		}
	})
	.parse(process.argv);

function toResponse({status, body}: ExecutorReply): Response {
	return Response.json(body, {status});
}

/** Answers only once the caller has given up. */
async function waitForAbort(signal: AbortSignal): Promise<Response> {
	return new Promise(resolve => {
		signal.addEventListener('abort', () => {
			resolve(new Response(undefined, {status: 504}));
		}, {once: true});
	});
}
