/**
 * Stand-in for the platform's store: rows with one version counter, conditional transactions, a feed of changes and raw
 * objects. It loses nothing and is never impaired.
 */
import {Buffer} from 'node:buffer';
import {listen, readBody, sendJson} from './http.mjs';
import {sleep} from './record.mjs';

const callTakesMs = 4;
const maxRows = 500;
const maxWaitMs = 30_000;

/** Starts a store at `host`. */
export async function startStore(host) {
	const rows = new Map();
	const changes = [];
	const blobs = new Map();
	const waiters = new Set();
	const startedAt = performance.now();
	let version = 0;
	const server = await listen(host, 0, handle);

	return {
		address: `${host}:${server.port}`,
		/** Writes a row as the operator does. */
		put(table, key, text) {
			version++;
			write({table, part: '', key}, Buffer.from(text).toString('base64'));
			wakeWaiters();
		},
		close: server.close,
	};

	async function handle(req, res) {
		const url = new URL(req.url, 'http://store');
		const body = await readBody(req);
		await sleep(callTakesMs);
		switch (url.pathname) {
			case '/v1/rows-tx': {
				commit(JSON.parse(body.toString()), res);
				return;
			}

			case '/v1/rows-get': {
				read(url.searchParams, res);
				return;
			}

			case '/v1/rows-feed': {
				await feed(url.searchParams, res);
				return;
			}

			default: {
				handleBlob(req, url, body, res);
			}
		}
	}

	function toKey({table, part = '', key}) {
		return JSON.stringify([table, part, key]);
	}

	function write(name, value) {
		const isDeleted = value === undefined;
		const row = {...name, ver: version, ...(isDeleted ? {deleted: true} : {value})};
		changes.push(row);
		if (isDeleted) {
			rows.delete(toKey(name));
		} else {
			rows.set(toKey(name), row);
		}
	}

	function wakeWaiters() {
		for (const wake of waiters) {
			wake();
		}
	}

	function reply(res, status, fields) {
		sendJson(res, status, {...fields, ver: version, 'now-ms': Math.floor(performance.now() - startedAt)});
	}

	function commit(transaction, res) {
		const conditions = transaction['expect-rev'] ?? [];
		if (conditions.some(condition => (rows.get(toKey(condition))?.ver ?? 0) !== condition.ver)) {
			reply(res, 412, {rows: conditions.flatMap(condition => rows.get(toKey(condition)) ?? [])});
			return;
		}

		version++;
		for (const {value, ...name} of transaction['set-keys'] ?? []) {
			write(name, value);
		}

		for (const name of transaction['delete-keys'] ?? []) {
			write(name, undefined);
		}

		reply(res, 200, {});
		wakeWaiters();
	}

	function read(query, res) {
		const from = query.get('from') ?? '';
		const target = query.get('target');
		const limit = Math.min(maxRows, Number(query.get('limit') ?? maxRows));
		const found = [...rows.values()]
			.filter(row => row.table === query.get('table') && row.part === (query.get('part') ?? '') && row.key >= from && (target === null || row.key < target))
			.toSorted((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
		reply(res, 200, {rows: found.slice(0, limit), 'has-more': found.length > limit});
	}

	async function feed(query, res) {
		const after = Number(query.get('after'));
		const end = performance.now() + Math.min(maxWaitMs, Number(query.get('wait-ms') ?? 0));
		const listChanges = () => changes.filter(row => row.table === query.get('table') && row.ver > after);
		while (listChanges().length === 0 && performance.now() < end) {
			await waitForChange(end - performance.now());
		}

		reply(res, 200, {rows: listChanges()});
	}

	async function waitForChange(ms) {
		await new Promise(resolve => {
			const timer = setTimeout(wake, Math.max(1, ms));
			waiters.add(wake);

			function wake() {
				clearTimeout(timer);
				waiters.delete(wake);
				resolve();
			}
		});
	}

	function handleBlob(req, url, body, res) {
		const [call, name = ''] = url.pathname.split('/').slice(2);
		switch (call) {
			case 'blob-put': {
				const isRefused = req.headers['if-none-match'] === '*' && blobs.has(name);
				if (!isRefused) {
					blobs.set(name, body);
				}

				sendJson(res, isRefused ? 412 : 200, {});
				return;
			}

			case 'blob-get': {
				res.writeHead(blobs.has(name) ? 200 : 404);
				res.end(blobs.get(name));
				return;
			}

			case 'blob-drop': {
				blobs.delete(name);
				sendJson(res, 200, {});
				return;
			}

			case 'blob-list': {
				const prefix = url.searchParams.get('path-prefix') ?? '';
				sendJson(res, 200, {names: [...blobs.keys()].filter(key => key.startsWith(prefix)).toSorted(), 'has-more': false});
				return;
			}

			default: {
				sendJson(res, 404, {});
			}
		}
	}
}
