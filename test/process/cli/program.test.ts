import {err, ok, okAsync} from 'neverthrow';
import {runCli, type ExitCode} from '../../../src/process/cli/program.js';
import type {EntryRequest, EntryResponse} from '../../../src/process/cli/types.js';
import {createDiagnostic, Diagnostics} from '../../../src/process/diagnostics.js';
import {createFakeClock} from '../../../src/process/fake-clock.js';
import {createMemoryPlatform} from '../../../src/process/platform/memory.js';
import {toRecordJson} from '../../../src/request/record-json.js';
import type {SubmissionRecord} from '../../../src/request/types.js';
import {compareWithBaseline} from '../../baseline.js';
import {describe, it} from '../../describe.js';
import {sampleObjectsToml, runUntilSettled} from '../../version/fixtures.js';

const files: Readonly<Record<string, string>> = {
	'objects.toml': sampleObjectsToml,
	'faulty.toml': `[[team]]
name = "dinner"
maxTasks = 0
colour = "red"
[[submission]]
name = "late"
service = "booking"
team = "lunch"
[[upstream]]
name = "x"
service = "ordering"
slots = 0
`,
	'faster.toml': '[[policy]]\nname = "default"\ndeadlineMs = 20000\n[[team]]\nname = "dinner"\nmaxTasks = 5\n',
	'contradictory.toml': '[[policy]]\nname = "default"\ntaskTimeoutMs = 300\n[[team]]\nname = "dinner"\nmaxTasks = 5\n',
	'deletion.toml': '[[delete]]\nkind = "team"\nname = "dinner"\n',
	'payloads.txt': 'adobo\nsinigang\n',
};

type Answers = Readonly<Record<string, EntryResponse>>;

describe('command line', () => {
	describe('for operators', () => {
		it('checks, publishes, shows and lists versions', async t => {
			const cli = createCli();
			await cli.run('check objects.toml');
			await cli.run('get team');
			await cli.run('apply objects.toml --author ana --reason opening --id first');
			await cli.run('apply objects.toml --author ana --reason opening --id first');
			await cli.run('diff faster.toml');
			await cli.run('apply faster.toml --author ben --id second', 'faster confirmations');
			await cli.run('apply deletion.toml --author ben --reason tidy --id third');
			await cli.run('apply deletion.toml --author ben --reason tidy --id third');
			await cli.run('apply faster.toml --author cleo --reason again --id fourth --base 1');
			await cli.run('drain ordering-1 --author ana --id fifth');
			await cli.run('drain ordering-1 --author ana --id sixth --undo');
			await cli.run('drain ordering-9 --author ana');
			await cli.run('get upstreams');
			await cli.run('get policy default');
			await cli.run('get policy other');
			await cli.run('get tents');
			await cli.run('history --limit 3');
			compareWithBaseline(t, 'cli/operators.txt', cli.lines);
		});

		it('evacuates a data centre and takes that back', async t => {
			const cli = createCli();
			await cli.run('drain --data-centre makati --author ana --id first');
			await cli.run('get data-centres');
			await cli.run('drain --data-centre makati --author ana --id second --undo');
			await cli.run('drain --data-centre Makati --author ana --id third');
			await cli.run('history');
			compareWithBaseline(t, 'cli/evacuation.txt', cli.lines);
		});

		it('reports all diagnostics of a change set together and publishes none of it', async t => {
			const cli = createCli();
			await cli.run('apply objects.toml --author ana --reason opening --id first');
			await cli.run('check faulty.toml absent.toml');
			await cli.run('check faulty.toml');
			await cli.run('apply faulty.toml --id second');
			await cli.run('history');
			await cli.run('apply objects.toml --platform http://127.0.0.1:1 --base x');
			compareWithBaseline(t, 'cli/faults.txt', cli.lines);
		});

		it('checks files for what they change and what never takes effect, for people and programs', async t => {
			const cli = createCli();
			await cli.run('apply objects.toml --author ana --reason opening --id first');
			t.is(await cli.run('check contradictory.toml'), 0);
			t.is(await cli.run('check contradictory.toml --strict'), 1);
			t.is(await cli.run('check contradictory.toml --json'), 0);
			t.is(await cli.run('check faulty.toml --json'), 1);
			compareWithBaseline(t, 'cli/check.txt', cli.lines);
		});

		it('creates and withdraws tokens', async t => {
			const cli = createCli();
			t.is(await cli.run('token app1 --role caller --team lunch'), 0);
			t.regex(cli.lines[1]!, /^app1\.[\w\-]{43}$/v);
			t.is(await cli.run('token app1 --withdraw'), 0);
			t.is(await cli.run('token app1 --role cook'), 1);
		});

		it('names a missing option', async t => {
			const cli = createCli({}, {});
			await cli.run('history');
			await cli.run('status');
			await cli.run('status --entry http://127.0.0.1:7101');
			compareWithBaseline(t, 'cli/missing-options.txt', cli.lines);
		});
	});

	describe('through an entry', () => {
		it('lists the processes', async t => {
			const processes = [
				{
					role: 'agent', name: 'ordering-1-agent', incarnation: 'c3', version: 6, isReady: true,
				},
				{
					role: 'entry', name: 'makati-1', incarnation: 'a1', version: 7, isReady: true,
				},
				{
					role: 'entry', name: 'bgc-1', incarnation: 'b2', version: 7, isReady: false,
				},
			];
			const cli = createCli({'GET /v1/status': {status: 200, body: {processes, evacuatedDataCentres: ['bgc', 'makati']}}});
			await cli.run('status');
			compareWithBaseline(t, 'cli/status.txt', cli.lines);
		});

		it('submits a job, waits for its answer and prints it', async t => {
			const cli = createCli({
				'POST /v1/tickets': {status: 200, body: {tickets: ['kc1.1']}},
				'POST /v1/submissions': {status: 202, body: {ticket: 'kc1.1', state: 'running', ran: 'may-have-run'}},
				'GET /v1/submissions/kc1.1?waitMs=30000': {
					status: 200,
					body: {
						ticket: 'kc1.1', state: 'complete', ran: 'ran', tasks: [{payload: 'b2sgMA=='}, {payload: 'b2sgMQ=='}, {payload: 'b2sgMg=='}],
					},
				},
			});
			t.is(await cli.run('submit confirm --payload lugaw --payloads payloads.txt --reference 4711'), 0);
			compareWithBaseline(t, 'cli/submit.txt', cli.lines);
			t.deepEqual(cli.requests[1]?.body, {
				ticket: 'kc1.1', submission: 'confirm', reference: '4711', deadlineMs: undefined, tasks: [{payload: 'bHVnYXc='}, {payload: 'YWRvYm8='}, {payload: 'c2luaWdhbmc='}], wait: true,
			});
		});

		it('prints refusals, cancellations and submission records', async t => {
			const refusal = {
				state: 'refused', ran: 'not-run', diagnostic: createDiagnostic(Diagnostics.Queue_is_full, 'ordering', 100), retryAfterMs: 500,
			};
			const cli = createCli({
				'POST /v1/submissions': {status: 503, body: refusal},
				'DELETE /v1/submissions/kc1.1': {
					status: 409, body: {
						ticket: 'kc1.1', state: 'failed', ran: 'not-run', diagnostic: createDiagnostic(Diagnostics.Job_was_cancelled, 'ana'),
					},
				},
				'GET /v1/submissions/kc1.1/fate': {status: 200, body: toRecordJson(finishedRecord)},
				'GET /v1/submissions/kc1.2/fate': {status: 404, body: {...refusal, diagnostic: createDiagnostic(Diagnostics.Fate_is_unknown, 'kc1.2')}},
				'GET /v1/submissions/kc1.3/fate': {status: 200, body: {surprise: true}},
			});
			t.is(await cli.run('submit confirm --payload x --ticket kc1.1'), 1);
			t.is(await cli.run('cancel kc1.1'), 0);
			t.is(await cli.run('trace kc1.1'), 0);
			t.is(await cli.run('trace kc1.2'), 1);
			t.is(await cli.run('trace kc1.3'), 1);
			compareWithBaseline(t, 'cli/entry.txt', cli.lines);
		});
	});
});

const finishedRecord: SubmissionRecord = {
	ticket: {
		incarnation: '1', block: 0, sequence: 0, text: 'kc1.1',
	},
	entry: 'makati-1',
	caller: 'ordering-app',
	team: 'lunch',
	submission: 'confirm',
	service: 'ordering',
	reference: '4711',
	configVersion: 1,
	taskCount: 1,
	acceptedAt: 1000,
	answer: {state: 'complete', ran: 'ran', at: 1200},
	deliveries: [{at: 1201, via: 'bgc-1'}],
	tasks: new Map([[0, {
		index: 0,
		attempts: [{
			attempt: 1, agent: 'ordering-1-agent/c3', upstream: 'ordering-1', sentAt: 1001, endedAt: 1199, outcome: 'completed', runMs: 190,
		}],
	}]]),
	detailDropped: false,
};

const completeEnv = {KINGCUPLANE_PLATFORM: 'http://127.0.0.1:7000', KINGCUPLANE_ENTRY: 'http://127.0.0.1:7101', KINGCUPLANE_TOKEN: 'ops.secret'};

/** Creates a command line with a platform in memory and an entry that gives fixed answers. */
function createCli(answers: Answers = {}, env: Readonly<Record<string, string>> = completeEnv) {
	const clock = createFakeClock();
	const platform = createMemoryPlatform({clock});
	const lines: string[] = [];
	const requests: EntryRequest[] = [];
	const host = {
		clock,
		env,
		readFile(name: string) {
			const text = files[name];
			return text === undefined ? err(createDiagnostic(Diagnostics.File_cannot_be_read, name, 'no such file')) : ok(text);
		},
		print(line: string) {
			lines.push(line);
		},
		printError(line: string) {
			lines.push(`! ${line}`);
		},
		createId: () => 'drawn',
		openPlatform: () => platform,
		openEntry: () => ({
			call(req: EntryRequest) {
				requests.push(req);
				return okAsync(answers[`${req.method} ${req.path}`] ?? {status: 404, body: {}});
			},
		}),
	};
	return {
		lines,
		requests,
		async run(command: string, reason?: string): Promise<ExitCode> {
			lines.push(`$ kingcuplane ${command}`);
			const args = [...command.split(' '), ...(reason === undefined ? [] : ['--reason', reason])];
			return runUntilSettled(clock, runCli(host, ['node', 'kingcuplane', ...args]));
		},
	};
}
