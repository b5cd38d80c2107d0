import {Buffer} from 'node:buffer';
import {Hono} from 'hono';
import {z} from 'zod';
import {startHttpServer, type HttpEnv} from '../../../dev/http-server.js';
import {formatReport} from '../../../dev/load/report.js';
import {createResultCollector} from '../../../dev/load/results.js';
import {startProgram, type Program} from '../../../dev/processes.js';
import {describe, it} from '../../describe.js';
import {compareWithBaseline} from '../../baseline.js';

const counts = z.record(z.string(), z.number());
const outputSchema = z.looseObject({jobs: z.number(), states: counts, verdicts: counts});

describe('load tool', () => {
	it('writes a table', t => {
		const results = createResultCollector();
		const common = {
			taskCount: 2, resends: 0, resubmitted: false, cancelled: false,
		};
		for (let i = 1; i <= 1000; i++) {
			results.recordLag(0.5);
			results.record({
				...common, ticket: `T${i}`, answer: {state: 'complete', ran: 'ran'}, response: i, ideal: 100, verdicts: ['right'],
			});
		}

		results.record({
			...common, ticket: 'T0', answer: {state: 'refused', ran: 'not-run', diagnostic: {kind: 'QueueFull', message: ''}}, response: 3, ideal: 100, verdicts: ['right'],
		});
		results.record({
			...common, ticket: undefined, answer: undefined, response: 60_000, ideal: 100, verdicts: [], resends: 4,
		});
		const starts = {
			total: 2000, violations: 0, startedTwice: 0, startedThoughNotRun: 0, completeThoughNotStarted: 0,
		};
		compareWithBaseline(t, 'load-report.txt', formatReport(results.summarize(), starts).split('\n'));
	});

	it('prints one line of JSON and exits with 1 if an answer belongs to another task', async t => {
		const authorizations = new Set<string | undefined>();
		const server = await startHttpServer(createCrossingEntry(authorizations), {host: '127.0.0.1', port: 0});
		t.teardown(async () => server.close());
		const program = startProgram('dev/load.js', ['--entries', server.url, '--token', '0123', '--submission', 'order', '--rate', '50', '--seconds', '0.2']);
		const {code} = await program.waitForExit();
		const output = getJsonLine(program);
		t.is(code, 1);
		t.true(output.jobs > 0);
		t.deepEqual(output.states, {complete: output.jobs});
		t.deepEqual(output.verdicts, {crossed: output.jobs});
		t.deepEqual([...authorizations], ['Bearer 0123']);
		t.false(JSON.stringify(output).includes('0123'));
	});

	it('names every wrong option', async t => {
		const program = startProgram('dev/load.js', ['--rate', '0', '--kind', 'batch']);
		const {code} = await program.waitForExit();
		t.is(code, 2);
		for (const option of ['entries', 'token', 'submission', 'rate', 'kind']) {
			t.true(program.lines.some(line => line.startsWith(`--${option}:`)), option);
		}
	});
});

/** Creates an entry that answers every task as if it were task 0 of another ticket. */
function createCrossingEntry(authorizations: Set<string | undefined>): Hono<HttpEnv> {
	const app = new Hono<HttpEnv>();
	app.use(async (c, next) => {
		authorizations.add(c.req.header('authorization'));
		await next();
	});
	app.post('/v1/tickets', c => c.json({tickets: ['A', 'B', 'C'], lifetimeMs: 10_000}));
	app.post('/v1/submissions', async c => {
		const {tasks} = await c.req.json<{tasks: Array<{payload: string}>}>();
		const answers = tasks.map(({payload}) => ({payload: Buffer.from(JSON.stringify({task: 'X/0', payload})).toString('base64')}));
		return c.json({
			ticket: 'A', state: 'complete', ran: 'ran', tasks: answers,
		});
	});
	return app;
}

function getJsonLine(program: Program): z.infer<typeof outputSchema> {
	const line = program.lines.find(text => text.startsWith('{')) ?? '{}';
	return outputSchema.parse(JSON.parse(line));
}
