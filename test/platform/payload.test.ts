import {Buffer} from 'node:buffer';
import http from 'node:http';
import type {ExecutionContext} from 'ava';
import fc from 'fast-check';
import {createPayloadCompressor} from '../../src/connection/payload-compressor.js';
import {resolvePayloads, sharePayloads} from '../../src/connection/shared-payloads.js';
import {
	AgentHello, EntryBatch, ForwardedJob, TaskOutcome, TaskStart,
} from '../../src/generated/kingcuplane.js';
import {createExecutorClient} from '../../src/platform/executor-client.js';
import {createJobDesk, type JobDesk} from '../../src/platform/job-desk.js';
import {createCancelledNames} from '../../src/process/cancelled-names.js';
import type {Milliseconds} from '../../src/process/clock.js';
import type {Entry} from '../../src/process/entry-types.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {createLeasedUpstream} from '../../src/process/leased-upstream.js';
import {noMetrics} from '../../src/process/metrics.js';
import type {SubmissionRequest} from '../../src/request/submission-rules.js';
import type {Answer} from '../../src/request/types.js';
import type {Route, Snapshot} from '../../src/version/types.js';
import {createFakeExecutor} from '../process/fake-executor.js';
import {describe, it} from '../describe.js';
import {silentLog} from '../silent-log.js';

const maxSpecBytes = 4000;
/** Longer than an agent takes to take over an executor that answers. */
const takeOverMs: Milliseconds = 500;
const name = '0123456789abcdef';
const complete: Answer = {state: 'complete', ran: 'ran', payloads: []};
const route: Route = {
	host: 'h', pathPrefix: '/jobs/', submission: 's', deadline: 1500, stretch: 1.6, margin: 60, priority: 0, attempts: 2,
};
const never = {onCancelled: () => undefined};

/** How a job travels from its client to the executor. */
type Way = {
	/** Whether another entry forwards it. */
	readonly isForwarded: boolean;
	/** Whether its payload is compressed on the link. */
	readonly isLinkBusy: boolean;
	/** Whether its client writes each character as an escape. */
	readonly isEscaped: boolean;
};

type Entrance = {
	readonly submitted: SubmissionRequest[];
	/** Returns the status of the response. */
	submit(body: Uint8Array, isForwarded: boolean): Promise<number | undefined>;
};

/** Creates the part of an entry that reads the bodies of clients. */
function createEntrance(): Entrance {
	const submitted: SubmissionRequest[] = [];
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the desk uses only these members
	const entry = {
		issueTicket: () => ({text: `ticket-${submitted.length}`}),
		getRemainingDrainTime: () => Infinity,
		coordinator: {
			submit(_caller: unknown, req: SubmissionRequest) {
				submitted.push(req);
				return {
					kind: 'accepted', job: {
						ticket: req.ticket, tryGetAnswer: () => undefined, whenAnswered(action: (answer: Answer) => void) {
							action(complete);
						},
					},
				};
			},
		},

	} as unknown as Entry;
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the desk uses only the routes
	const snapshot = {version: 1, routes: [route]} as unknown as Snapshot;
	const desk: JobDesk = createJobDesk({
		entry, log: silentLog, clock: createFakeClock(), cancelledNames: createCancelledNames(createFakeClock()), tryGetSnapshot: () => snapshot, checkPause: () => undefined,
	});
	return {
		submitted,
		async submit(body, isForwarded) {
			const timeLeft = 1500;
			if (!isForwarded) {
				const reply = await desk.submit({
					route, name, body, timeLeft,
				}, never);
				return reply?.status;
			}

			const forwarded = ForwardedJob.encode({
				host: route.host, path: `${route.pathPrefix}${name}`, body, timeLeftMs: timeLeft, configVersion: 1,
			}).finish();
			const reply = await desk.submitForwarded(ForwardedJob.decode(forwarded), never);
			return reply.status;
		},
	};
}

/** Carries the starts of a job over the link, in the form in which they are sent. */
function transfer(payloads: readonly Uint8Array[], isLinkBusy: boolean, firstSeq: number): readonly TaskStart[] {
	const starts = payloads.map((payload, index) => TaskStart.fromPartial({
		seq: firstSeq + index, attempt: 1, task: {ticket: `t${firstSeq}`, index}, reference: `${firstSeq}`, payload,
	}));
	const batch = EntryBatch.encode(EntryBatch.fromPartial({starts: sharePayloads(starts, createPayloadCompressor(() => isLinkBusy))})).finish();
	return resolvePayloads(EntryBatch.decode(batch).starts);
}

type Exit = {
	/** Starts a task; resolves to the spec that the executor was told, or undefined if it was told nothing. */
	start(start: TaskStart): Promise<unknown>;
};

/** Creates an agent beside an executor that records what it is told to start. */
async function createExit(t: ExecutionContext): Promise<Exit> {
	const clock = createFakeClock(1000);
	let receive = (_spec: unknown): void => undefined;
	const server = http.createServer((req, res) => {
		const chunks: Uint8Array[] = [];
		req.on('data', (chunk: Uint8Array) => chunks.push(chunk));
		req.on('end', () => {
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the executor client sends an object
			const body = JSON.parse(Buffer.concat(chunks).toString()) as {readonly spec: unknown};
			receive(body.spec);
			res.end('{}');
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	const client = createExecutorClient({
		clock, log: silentLog, address: `127.0.0.1:${typeof address === 'object' ? address?.port : 0}`, id: 'i',
	});
	const upstream = createLeasedUpstream({
		clock,
		executor: {...createFakeExecutor(clock, 1), start: client.start},
		firstFencingToken: 10,
		maxLeaseMs: 1000,
		log: silentLog,
		metrics: noMetrics,
		onReplaced: () => undefined,
		onRestarted: () => undefined,
		onFormerRunsLost: () => undefined,
		onProjectedSlowdowns: () => undefined,
		onUnreachable: () => undefined,
		onShortage: () => undefined,
		onRunsLost: () => undefined,
		onRecovered: () => undefined,
		harmlessPauseMs: 400,
		takePauseTime: () => 0,
		onPauseWitnessed: () => undefined,
	});
	t.teardown(async () => {
		await upstream.close();
		await client.close();
		server.closeAllConnections();
		server.close();
	});
	const takingOver = upstream.takeOver();
	await Promise.race([takingOver, runFor(takeOverMs)]);

	return {
		start: async start => new Promise(resolve => {
			receive = resolve;
			upstream.run(start, ({outcome, detail}) => {
				resolve({outcome, detail});
			});
		}),
	};

	async function runFor(time: Milliseconds): Promise<void> {
		for (let i = 0; i < time; i++) {
			clock.advance(1);
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	}
}

/** Writes a string as JSON, each UTF-16 code unit as an escape if `isEscaped`. */
function toJson(text: string, isEscaped: boolean): string {
	if (!isEscaped) {
		return JSON.stringify(text);
	}

	let escapes = '';
	for (let i = 0; i < text.length; i++) {
		// eslint-disable-next-line unicorn/prefer-code-point -- escapes name code units
		escapes += String.raw`\u` + text.charCodeAt(i).toString(16).padStart(4, '0');
	}

	return `"${escapes}"`;
}

function createBody(spec: string, isEscaped: boolean, count = 1): Uint8Array {
	return Buffer.from(`{"spec":${toJson(spec, isEscaped)},"best-effort":true,"steps":[{"count":${count},"cpu":100}]}`);
}

/** Characters that encodings of text treat in a way of their own, and others of each length in UTF-8. */
const specialCharacters = ['\uFEFF', '\0', '"', '\\', '/', '\n', '\r', '\u2028', '\u007F', '\u0085', '\uFFFD', '\uFFFF', 'x', 'é', '€', '😀', '\u{10FFFF}', 'e\u0301'];
const specs = fc.oneof(
	fc.array(fc.constantFrom(...specialCharacters), {maxLength: 40}).map(parts => parts.join('')),
	fc.string({unit: 'binary', maxLength: 300}),
	fc.tuple(fc.constantFrom('', '\uFEFF', '\0'), fc.constantFrom('x', 'é', '€', '😀')).map(([start, character]) => fillUp(start, character)),
);
const ways: fc.Arbitrary<Way> = fc.record({isForwarded: fc.boolean(), isLinkBusy: fc.boolean(), isEscaped: fc.boolean()});

/** Returns a text of exactly as many bytes as are allowed, that begins with `start` and consists of `character` apart from its end. */
function fillUp(start: string, character: string): string {
	const left = maxSpecBytes - Buffer.byteLength(start);
	const size = Buffer.byteLength(character);
	return start + character.repeat(Math.floor(left / size)) + 'x'.repeat(left % size);
}

/** The parts of a text with a lone surrogate: what stands before it, the surrogate, and what follows. */
const brokenTexts = fc.tuple(fc.string({unit: 'binary', maxLength: 20}), fc.constantFrom('\uD800', '\uDBFF', '\uDC00', '\uDFFF'), fc.string({unit: 'grapheme-ascii', maxLength: 20}));

describe('payload of a task', () => {
	// Guards against a spec that reaches the executor without its byte order mark, or changed in any other way.
	it('reaches the executor exactly as its client sent it', async t => {
		const {submit, submitted} = createEntrance();
		const exit = await createExit(t);
		let seq = 1;
		await fc.assert(fc.asyncProperty(specs, ways, fc.integer({min: 1, max: 3}), async (spec, {isForwarded, isLinkBusy, isEscaped}, count) => {
			t.is(await submit(createBody(spec, isEscaped, count), isForwarded), 200);
			const starts = transfer(submitted.at(-1)!.payloads, isLinkBusy, seq);
			seq += count;
			for (const start of starts) {
				t.is(await exit.start(start), spec);
			}
		}), {seed: 41, numRuns: 500, examples: [['\uFEFForder;table 4', {isForwarded: false, isLinkBusy: false, isEscaped: false}, 2]]});
	});

	describe('is refused before anything starts', () => {
		it('if it has a lone surrogate, which has no form in UTF-8', async t => {
			const {submit, submitted} = createEntrance();
			await fc.assert(fc.asyncProperty(brokenTexts, fc.boolean(), fc.boolean(), async (parts, isForwarded, isEscaped) => {
				t.is(await submit(createBody(parts.join(''), isEscaped), isForwarded), 400);
			}), {seed: 41, numRuns: 200});
			t.is(submitted.length, 0);
		});

		it('if it has a byte more than is allowed, in characters of any length', async t => {
			const {submit, submitted} = createEntrance();
			for (const character of ['x', 'é', '€', '😀']) {
				for (const isEscaped of [false, true]) {
					t.is(await submit(createBody(`${fillUp('', character)}x`, isEscaped), false), 400);
				}
			}

			t.is(submitted.length, 0);
		});

		it('if the body is not text in UTF-8', async t => {
			const {submit, submitted} = createEntrance();
			const body = createBody('order;table 4', false);
			for (const byte of [0x80, 0xC0, 0xE2, 0xED, 0xF5, 0xFF]) {
				const damaged = Uint8Array.from(body);
				damaged[Buffer.from(body).indexOf('table')] = byte;
				t.is(await submit(damaged, false), 400);
				t.is(await submit(damaged, true), 400);
			}

			t.is(submitted.length, 0);
		});
	});

	it('fails the task without a call of the executor if it is not text', async t => {
		const exit = await createExit(t);
		const [start] = transfer([Uint8Array.of(0x78, 0xFF)], false, 1);
		t.deepEqual(await exit.start(start!), {outcome: TaskOutcome.TASK_OUTCOME_FAILED, detail: 'the payload cannot be given to the executor: it is not text in UTF-8'});
	});
});

describe('names in messages', () => {
	it('keep a byte order mark and any other character', t => {
		fc.assert(fc.property(fc.array(fc.constantFrom(...specialCharacters), {maxLength: 10}).map(parts => parts.join('')), text => {
			const hello = AgentHello.decode(AgentHello.encode(AgentHello.fromPartial({agent: text, rack: text, labels: [text, 'x']})).finish());
			t.deepEqual([hello.agent, hello.rack, ...hello.labels], [text, text, text, 'x']);
			const start = TaskStart.decode(TaskStart.encode(TaskStart.fromPartial({
				task: {ticket: text, index: 0}, service: text, caller: text, reference: text, submission: text,
			})).finish());
			t.deepEqual([start.task?.ticket, start.service, start.caller, start.reference, start.submission], [text, text, text, text, text]);
		}), {seed: 41, numRuns: 200, examples: [['\uFEFFgpu']]});
	});
});
