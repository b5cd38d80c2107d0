import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import type {ExecutionContext} from 'ava';
import {request} from 'undici';
import {z} from 'zod';
import {startProgram, waitForUrl, type Program} from '../../dev/processes.js';
import {taskHeaders} from '../../dev/upstream-app.js';
import {createSystemClock} from '../../src/process/clock.js';
import {createPlatformClient} from '../../src/platform/platform-client.js';
import {describe, it} from '../describe.js';
import {unwrap, unwrapError} from '../unwrap.js';

const jsonObject = z.record(z.string(), z.unknown());
const task = {[taskHeaders.task]: 'A/0', [taskHeaders.attempt]: '1', [taskHeaders.service]: 'ordering'};

describe('development programs', () => {
	it('platform stand-in serves the initial rows, and its faults are changed by request', async t => {
		const file = path.join(fs.mkdtempSync(path.join(os.tmpdir(), 'kingcuplane-')), 'tokens.toml');
		fs.writeFileSync(file, '[rows."tokens/a"]\nteam = "lunch"\n');
		const program = start(t, 'dev/platform-standin.js', ['--seed-tokens', file]);
		const url = await waitForUrl(program);
		const {table, close} = createPlatformClient({clock: createSystemClock(), url, timeoutMs: 5000});
		t.is(await unwrap(table.get('tokens/a').map(row => row?.value)), '{"team":"lunch"}');

		await post(`${url}/faults`, {callsPerSecond: 0});
		t.is(await unwrapError(table.get('tokens/a').mapErr(({kind}) => kind)), 'rate-limited');

		await post(`${url}/faults`, {clear: true});
		t.is(await unwrap(table.get('tokens/b')), undefined);
		t.like(await get(`${url}/stats`), {tableReads: 2, refused: 1});

		await close();
		t.deepEqual(await program.stop(), {code: 0, signal: undefined});
	});

	it('upstream stand-in runs tasks, counts them, and refuses connections for a time', async t => {
		const program = start(t, 'dev/upstream-standin.js', ['--run', 'fixed:1']);
		const url = await waitForUrl(program);
		t.like(await post(`${url}/run`, 'x', task), {task: 'A/0', payload: 'Ingi'});
		t.like(await get(`${url}/counts`), {total: 1, greatest: 1, tasks: {'A/0': {starts: 1}}});

		await post(`${url}/faults`, {refuseMs: 1});
		await program.waitForLine(/listening again/v);
		t.like(await get(`${url}/counts?tasks=false`), {total: 1, violations: 0});

		await post(`${url}/faults`, {refuseMs: 60_000});
		await t.throwsAsync(post(`${url}/run`, 'x', task), {code: 'ECONNREFUSED'});
		t.deepEqual(await program.kill(), {code: undefined, signal: 'SIGKILL'});
	});

	it('report why a program exited before it was ready', async t => {
		const program = start(t, 'dev/upstream-standin.js', ['--run', 'sometimes']);
		const error = await t.throwsAsync(waitForUrl(program));
		t.regex(error.message, /--run takes fixed:MS/v);
		const {code} = await program.waitForExit();
		t.not(code, 0);
	});

	it('pause and resume a program', async t => {
		const pausedProgram = start(t, 'dev/platform-standin.js');
		const other = start(t, 'dev/platform-standin.js');
		const [pausedUrl, otherUrl] = await Promise.all([waitForUrl(pausedProgram), waitForUrl(other)]);
		pausedProgram.pause();
		let answered = false;
		const pending = get(`${pausedUrl}/stats`).finally(() => {
			answered = true;
		});
		for (let i = 0; i < 20; i++) {
			await get(`${otherUrl}/stats`);
		}

		t.false(answered);
		pausedProgram.resume();
		t.like(await pending, {tableReads: 0});
	});

	it('have exited when `kill` resolves', async t => {
		const program = start(t, 'dev/platform-standin.js');
		await waitForUrl(program);
		await program.kill();
		t.throws(() => process.kill(program.pid, 0), {code: 'ESRCH'});
	});
});

/** Starts a program that is killed at the end of the test. */
function start(t: ExecutionContext, script: string, args: readonly string[] = []): Program {
	const program = startProgram(script, args);
	t.teardown(async () => program.kill());
	return program;
}

async function get(url: string): Promise<Record<string, unknown>> {
	const {body} = await request(url, {headers: {connection: 'close'}});
	return jsonObject.parse(await body.json());
}

async function post(url: string, content: unknown, headers: Readonly<Record<string, string>> = {}): Promise<Record<string, unknown>> {
	const {body} = await request(url, {method: 'POST', body: JSON.stringify(content), headers: {connection: 'close', ...headers}});
	return jsonObject.parse(await body.json());
}
