/**
 * Stand-in for one executor, as PROTOCOL.md describes it: room, leases on its own steady clock, fence numbers, runs and their
 * ends, heartbeats. What a task needs and how long it works is looked up by the id of its job.
 */
import http from 'node:http';
import {readBody, request, sendJson} from './http.mjs';

const maxLeaseMs = 1000;
const stopMs = 20;
const maxListedEnds = 500;

/**
 * Starts an executor beside the agent at `control`. `jobs` maps the id of a job to what its tasks need (`cpu`, `mem`, `ms`);
 * `record` is called with each start and end of a run.
 */
export async function startExecutor({
	id, host, port, control, upstream, zone, room, labels, heartbeatMs, jobs, record,
}) {
	let life = createLife();
	let timer;
	let sequence = 0;
	let isUp = false;
	const server = http.createServer((req, res) => {
		handle(req, res);
	});
	await listen();
	start(0);

	return {
		getRunning: () => [...life.runs.values()],
		/** Ends all runs and breaks all channels, as a process does that is killed. */
		async crash() {
			isUp = false;
			stopBeats();
			life.end('crashed');
			await new Promise(resolve => {
				server.close(resolve);
				server.closeAllConnections();
			});
		},
		/** Starts again after a crash, under its id: it knows nothing of before. Its first heartbeat follows after `firstBeatMs`. */
		async restart({firstBeatMs}) {
			life = createLife();
			sequence = 0;
			await listen();
			start(firstBeatMs);
		},
		async close() {
			stopBeats();
			life.end('closed');
			server.closeAllConnections();
			server.close();
		},
	};

	async function listen() {
		await new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, () => {
				server.off('error', reject);
				resolve();
			});
		});
		isUp = true;
	}

	function start(firstBeatMs) {
		timer = setTimeout(() => {
			beat();
			timer = setInterval(beat, heartbeatMs);
		}, firstBeatMs);
	}

	function stopBeats() {
		clearTimeout(timer);
		clearInterval(timer);
	}

	async function beat() {
		sequence++;
		await request(control, {
			method: 'POST',
			path: `/v1/Executors.Heartbeat/${id}`,
			timeoutMs: 1000,
			body: JSON.stringify({
				upstream, addr: `${host}:${port}`, zone, version: 'v1', slots: 8, state: 'ready', 'cold-left-ms': 0, room, labels, 'clock-ms': life.now(), seq: sequence, born: life.born,
			}),
		});
	}

	async function handle(req, res) {
		const body = await readBody(req).catch(() => undefined);
		if (body === undefined || !isUp) {
			req.socket.destroy();
			return;
		}

		const expected = req.headers['expect-instance'];
		if (expected !== undefined && expected !== id) {
			sendJson(res, 421, {});
			return;
		}

		if (req.method === 'GET') {
			sendJson(res, 200, {});
			return;
		}

		const call = JSON.parse(body.toString());
		const current = life;
		const reply = await current.serve(req.url, call);
		sendJson(res, reply.status, {'clock-ms': current.now(), ...reply.body});
	}

	function createLife() {
		const born = Date.now();
		const steadyStart = performance.now();
		const runs = new Map();
		const highest = new Map();
		const waiters = new Set();
		let ends = [];
		let nextEnd = 1;
		let fence = 0;
		let leaseEndsAt = 0;
		let leaseTimer;
		let isOver = false;
		const self = {
			born, runs, now, serve, end,
		};
		return self;

		function now() {
			return Math.floor(performance.now() - steadyStart);
		}

		async function serve(path, call) {
			if (isOver) {
				return {status: 503, body: {}};
			}

			if ((call['fence-token'] ?? 0) < fence) {
				return {status: 409, body: {reason: 'fence'}};
			}

			fence = call['fence-token'] ?? 0;
			switch (path) {
				case '/v1/run-start': {
					return startRun(call);
				}

				case '/v1/run-stop': {
					return stopRun(call);
				}

				case '/v1/hold': {
					return hold(call);
				}

				default: {
					return {status: 400, body: {}};
				}
			}
		}

		function extendLease(expiresAt) {
			if (expiresAt === undefined) {
				return;
			}

			leaseEndsAt = Math.max(leaseEndsAt, Math.min(expiresAt, now() + maxLeaseMs));
			clearTimeout(leaseTimer);
			leaseTimer = setTimeout(lapse, leaseEndsAt - now() + 1);
		}

		function lapse() {
			if (now() < leaseEndsAt) {
				leaseTimer = setTimeout(lapse, leaseEndsAt - now() + 1);
				return;
			}

			for (const run of runs.values()) {
				finish(run, 'lapsed');
			}
		}

		function startRun({
			task, run, 'expires-at-ms': expiresAt,
		}) {
			if (expiresAt === undefined || expiresAt <= now()) {
				return {status: 409, body: {reason: 'late'}};
			}

			extendLease(expiresAt);
			if (run <= (highest.get(task) ?? 0)) {
				return {status: 409, body: {reason: 'old'}};
			}

			const known = runs.get(task);
			if (known?.run === run) {
				return {status: 200, body: {}};
			}

			const [job] = task.split('.');
			const need = jobs.get(job);
			if (need === undefined) {
				record({
					executor: id, what: 'foreign', task, run,
				});
				return {status: 400, body: {}};
			}

			let usedCpu = need.cpu;
			for (const other of runs.values()) {
				usedCpu += other.need.cpu;
			}

			if (usedCpu > room.cpu) {
				return {status: 409, body: {reason: 'room'}};
			}

			const started = {
				task, run, need, executor: id, startedAt: Date.now(),
			};
			runs.set(task, started);
			record({
				executor: id, what: 'start', task, run,
			});
			started.timer = setTimeout(() => {
				finish(started, 'done');
			}, need.ms);
			return {status: 200, body: {}};
		}

		function stopRun({task, run}) {
			highest.set(task, Math.max(run, highest.get(task) ?? 0));
			const found = runs.get(task);
			if (found !== undefined && found.run <= run) {
				setTimeout(() => {
					finish(found, 'stopped');
				}, stopMs);
			}

			return {status: 200, body: {}};
		}

		async function hold(call) {
			extendLease(call['expires-at-ms']);
			ends = ends.filter(([number]) => number > (call['seen-upto'] ?? 0));
			if (ends.length === 0 && (call['wait-ms'] ?? 0) > 0) {
				await new Promise(resolve => {
					const waiting = setTimeout(wake, Math.min(2000, call['wait-ms']));
					waiters.add(wake);

					function wake() {
						clearTimeout(waiting);
						waiters.delete(wake);
						resolve();
					}
				});
			}

			return {
				status: 200, body: {
					born,
					running: [...runs.values()].map(({task, run, startedAt, need}) => [task, run, '', Math.min(99, Math.floor(100 * (Date.now() - startedAt) / need.ms)), need.cpu]),
					ended: ends.slice(0, maxListedEnds),
				},
			};
		}

		function finish(run, how) {
			if (runs.get(run.task) !== run) {
				return;
			}

			clearTimeout(run.timer);
			runs.delete(run.task);
			highest.set(run.task, Math.max(run.run, highest.get(run.task) ?? 0));
			ends.push([nextEnd++, run.task, run.run, how, '']);
			record({
				executor: id, what: how, task: run.task, run: run.run,
			});
			for (const wake of waiters) {
				wake();
			}
		}

		function end(how) {
			isOver = true;
			clearTimeout(leaseTimer);
			for (const run of runs.values()) {
				clearTimeout(run.timer);
				record({
					executor: id, what: how, task: run.task, run: run.run,
				});
			}

			runs.clear();
		}
	}
}
