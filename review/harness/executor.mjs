/**
 * Stand-in for one executor: runs tasks under a lease and a fence number, as PROTOCOL.md describes, and sends heartbeats to
 * the `control` address of its machine. A task's spec is JSON whose field `ms` is its run time; any other spec runs for
 * `defaultRunMs`.
 */
import {
	call, listen, readBody, sendJson,
} from './http.mjs';
import {sleep} from './record.mjs';

const holdMaxMs = 1000;
/** Time that a stop takes; `stop-ms` allows 50. */
const stopTakesMs = 10;
const maxListedEnds = 500;
/** Need of a task whose spec states none. */
const defaultNeed = {cpu: 1000, 'mem-mb': 64};

/** Starts an executor. `control` is "IP:port" of the agent's heartbeat address. */
export async function startExecutor({
	id, host, port = 0, control, service, zone, rack, kind = 'a', room, heartbeatMs, record, defaultRunMs = 100,
}) {
	let boot = 0;
	let life;
	let server;
	let beatTimer;
	await start();

	const executor = {
		id,
		get address() {
			return `${host}:${server.port}`;
		},
		/** Lists the runs of this boot. */
		getRunning: () => [...life.runs.values()].map(({task, run}) => ({task, run})),
		/**
		 * Announces that this executor leaves, serves on for `serveMs` after the acknowledgement, and then deregisters itself at
		 * `deregisterAt`. It ends at once if that is acknowledged, and `endAfterMs` later if it is not.
		 */
		async leave({serveMs, deregisterAt, endAfterMs}) {
			const leaving = life;
			leaving.state = 'draining';
			clearInterval(beatTimer);
			beatTimer = setInterval(() => beat(leaving), heartbeatMs);
			await beat(leaving);
			record.add('executor is draining', {executor: id});
			await sleep(serveMs);
			clearInterval(beatTimer);
			record.add('executor deregisters', {executor: id, running: leaving.runs.size});
			const [deregisterHost, deregisterPort] = deregisterAt.split(':');
			const res = await call({
				host: deregisterHost, port: Number(deregisterPort), method: 'POST', path: `/v1/Executors.Deregister/${id}`, timeoutMs: 1000,
			});
			record.add('response to the deregistration', {executor: id, status: res?.status});
			if (res?.status !== 200) {
				await sleep(endAfterMs);
			}

			for (const run of leaving.runs.values()) {
				end(leaving, run, 'left');
			}

			record.add('executor ends', {executor: id});
			await server.close();
		},
		async stop() {
			clearInterval(beatTimer);
			await server.close();
		},
	};
	return executor;

	async function start() {
		boot++;
		const created = {
			boot,
			born: Date.now(),
			startedAt: performance.now(),
			state: 'ready',
			fence: 0,
			leaseEndsAt: -Infinity,
			leaseTimer: undefined,
			runs: new Map(),
			highestEnded: new Map(),
			ends: [],
			nextEnd: 1,
			waiters: new Set(),
			seq: 0,
		};
		life = created;
		server = await listen(host, server?.port ?? port, async (req, res) => {
			const bytes = await readBody(req);
			const body = JSON.parse(bytes.toString());
			if (req.headers['expect-instance'] !== undefined && req.headers['expect-instance'] !== id) {
				sendJson(res, 421, {});
			} else {
				await handle(created, req.url, body, res);
			}
		});
		record.add('executor starts', {executor: id, boot, born: created.born});
		await beat(created);
		beatTimer = setInterval(() => beat(created), heartbeatMs);
	}

	async function beat(current) {
		current.seq++;
		const [controlHost, controlPort] = control.split(':');
		await call({
			host: controlHost,
			port: Number(controlPort),
			method: 'POST',
			path: `/v1/Executors.Heartbeat/${id}`,
			headers: {'content-type': 'application/json'},
			timeoutMs: 1000,
			body: JSON.stringify({
				upstream: service,
				addr: `${host}:${server.port}`,
				zone,
				version: 'v1',
				slots: 8,
				state: current.state,
				'cold-left-ms': 0,
				room,
				labels: [kind, rack],
				'clock-ms': getClock(current),
				seq: current.seq,
				born: current.born,
			}),
		});
	}

	function getClock({startedAt}) {
		return Math.floor(performance.now() - startedAt);
	}

	async function handle(current, path, body, res) {
		const reply = (status, fields = {}) => sendJson(res, status, {'clock-ms': getClock(current), born: current.born, ...fields});
		const fence = body['fence-token'] ?? 0;
		if (fence < current.fence) {
			reply(409, {reason: 'fence'});
			return;
		}

		current.fence = fence;
		switch (path) {
			case '/v1/run-start': {
				startRun(current, body, reply);
				return;
			}

			case '/v1/run-stop': {
				stopRun(current, body);
				reply(200);
				return;
			}

			case '/v1/hold': {
				await hold(current, body, reply);
				return;
			}

			default: {
				reply(404);
			}
		}
	}

	function startRun(current, {task, run, spec, 'expires-at-ms': expiresAt}, reply) {
		if (expiresAt <= getClock(current)) {
			reply(409, {reason: 'late'});
			return;
		}

		extendLease(current, expiresAt);
		const running = current.runs.get(task);
		if (running?.run === run) {
			reply(200);
			return;
		}

		if (run <= (current.highestEnded.get(task) ?? 0) || running !== undefined) {
			reply(409, {reason: 'old'});
			return;
		}

		const need = readSpec(spec).need ?? defaultNeed;
		const used = [...current.runs.values()].reduce((sum, other) => sum + other.need.cpu, 0);
		if (used + need.cpu > room.cpu) {
			reply(409, {reason: 'room'});
			return;
		}

		const ms = readSpec(spec).ms ?? defaultRunMs;
		const created = {
			task, run, need, ms, startedAt: performance.now(),
		};
		created.timer = setTimeout(() => end(current, created, 'done'), ms);
		current.runs.set(task, created);
		record.add('start', {
			executor: id, boot: current.boot, task, run, spec, fence: current.fence,
		});
		reply(200);
	}

	function readSpec(spec) {
		try {
			return JSON.parse(spec);
		} catch {
			return {};
		}
	}

	function stopRun(current, {task, run}) {
		current.highestEnded.set(task, Math.max(run, current.highestEnded.get(task) ?? 0));
		const running = current.runs.get(task);
		if (running !== undefined && running.run <= run) {
			setTimeout(() => end(current, running, 'stopped'), stopTakesMs);
		}
	}

	async function hold(current, body, reply) {
		extendLease(current, body['expires-at-ms'] ?? 0);
		current.ends = current.ends.filter(([number]) => number > (body['seen-upto'] ?? 0));
		if (current.ends.length === 0 && (body['wait-ms'] ?? 0) > 0) {
			await new Promise(resolve => {
				const timer = setTimeout(finish, body['wait-ms']);
				current.waiters.add(finish);
				function finish() {
					clearTimeout(timer);
					current.waiters.delete(finish);
					resolve();
				}
			});
		}

		const now = performance.now();
		reply(200, {
			running: [...current.runs.values()].map(({task, run, ms, startedAt, need}) => [task, run, '', Math.min(99, Math.floor(100 * (now - startedAt) / ms)), need.cpu]),
			ended: current.ends.slice(0, maxListedEnds),
		});
	}

	function extendLease(current, expiresAt) {
		const now = performance.now();
		const endsAt = Math.min(current.startedAt + expiresAt, now + holdMaxMs);
		if (endsAt <= current.leaseEndsAt) {
			return;
		}

		current.leaseEndsAt = endsAt;
		clearTimeout(current.leaseTimer);
		current.leaseTimer = setTimeout(() => {
			for (const run of current.runs.values()) {
				end(current, run, 'lapsed');
			}
		}, Math.max(0, Math.ceil(endsAt - now)));
	}

	function end(current, run, how) {
		if (current.runs.get(run.task) !== run) {
			return;
		}

		clearTimeout(run.timer);
		current.runs.delete(run.task);
		current.highestEnded.set(run.task, Math.max(run.run, current.highestEnded.get(run.task) ?? 0));
		current.ends.push([current.nextEnd++, run.task, run.run, how, '']);
		record.add('end', {
			executor: id, boot: current.boot, task: run.task, run: run.run, how,
		});
		for (const waiter of current.waiters) {
			waiter();
		}
	}
}
