/**
 * Stand-in for the platform's store, in memory and without faults: rows in tables, transactions, the feed of changes with a
 * history, and raw objects.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {readBody, sendJson, sleep} from './http.mjs';

const historyMs = 20_000;
const transactionMs = 6;
const maxRows = 500;
/** The system may read these tables, but not write to them. */
const operatorTables = new Set(['op', 'servers']);

/** Starts a store; `setRow` writes as the operator does and resolves to the time of its acknowledgement. */
export async function startStore(host) {
	const startedAt = Date.now();
	const rows = new Map();
	const objects = new Map();
	const changes = [];
	const waiters = new Set();
	let version = 0;

	const server = http.createServer((req, res) => {
		handle(req, res);
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, host, resolve);
	});

	return {
		address: `${host}:${server.address().port}`,
		setRow(table, key, value) {
			write([{table, key, value: Buffer.from(JSON.stringify(value)).toString('base64')}], []);
			return Date.now();
		},
		close() {
			server.closeAllConnections();
			server.close();
		},
	};

	async function handle(req, res) {
		const url = new URL(req.url, 'http://store');
		const body = await readBody(req);
		const [operation, name = ''] = url.pathname.split('/').slice(2);
		switch (operation) {
			case 'rows-tx': {
				await sleep(transactionMs);
				commit(JSON.parse(body.toString()), res);
				break;
			}

			case 'rows-get': {
				getRows(url.searchParams, res);
				break;
			}

			case 'rows-feed': {
				await feed(url.searchParams, res);
				break;
			}

			case 'rows-parts': {
				sendJson(res, 200, {parts: [], 'has-more': false, ...describeTime()});
				break;
			}

			default: {
				serveObject(operation, decodeURIComponent(name), {url, body, req}, res);
			}
		}
	}

	function describeTime() {
		return {ver: version, 'now-ms': Date.now() - startedAt};
	}

	function commit({'expect-rev': expected = [], 'set-keys': sets = [], 'delete-keys': deletes = []}, res) {
		if ([...sets, ...deletes].some(({table}) => operatorTables.has(table))) {
			sendJson(res, 403, {});
			return;
		}

		const isUnmet = expected.some(({table, key, ver}) => (rows.get(toId(table, key))?.ver ?? 0) !== ver);
		if (isUnmet) {
			sendJson(res, 412, {rows: expected.flatMap(({table, key}) => rows.get(toId(table, key)) ?? []), ...describeTime()});
			return;
		}

		write(sets, deletes);
		sendJson(res, 200, describeTime());
	}

	function write(sets, deletes) {
		version++;
		for (const {table, key, value} of sets) {
			const row = {
				table, part: '', key, value, ver: version,
			};
			rows.set(toId(table, key), row);
			changes.push({at: Date.now(), row});
		}

		for (const {table, key} of deletes) {
			rows.delete(toId(table, key));
			changes.push({
				at: Date.now(), row: {
					table, part: '', key, ver: version, deleted: true,
				},
			});
		}

		for (const wake of waiters) {
			wake();
		}
	}

	function getRows(query, res) {
		const from = query.get('from') ?? '';
		const target = query.get('target');
		const limit = Math.min(maxRows, Number(query.get('limit') ?? maxRows));
		const found = [...rows.values()]
			.filter(({table, key}) => table === query.get('table') && compare(key, from) >= 0 && (target === null || compare(key, target) < 0))
			.toSorted((a, b) => compare(a.key, b.key));
		sendJson(res, 200, {rows: found.slice(0, limit), 'has-more': found.length > limit, ...describeTime()});
	}

	async function feed(query, res) {
		const after = Number(query.get('after'));
		const table = query.get('table');
		const end = Date.now() + Math.min(30_000, Number(query.get('wait-ms') ?? 0));
		for (;;) {
			const oldest = changes.find(({at}) => at >= Date.now() - historyMs)?.row.ver ?? version + 1;
			if (after + 1 < oldest && after < version && changes.some(({row}) => row.ver > after && row.ver < oldest)) {
				sendJson(res, 410, describeTime());
				return;
			}

			const changed = changes.flatMap(({row}) => row.table === table && row.ver > after ? [row] : []);
			if (changed.length > 0 || Date.now() >= end) {
				sendJson(res, 200, {rows: changed, ...describeTime()});
				return;
			}

			await new Promise(resolve => {
				const timer = setTimeout(wake, end - Date.now());
				waiters.add(wake);

				function wake() {
					clearTimeout(timer);
					waiters.delete(wake);
					resolve();
				}
			});
		}
	}

	function serveObject(operation, name, {url, body, req}, res) {
		switch (operation) {
			case 'blob-put': {
				if (req.headers['if-none-match'] === '*' && objects.has(name)) {
					sendJson(res, 412, {});
					return;
				}

				objects.set(name, body);
				sendJson(res, 200, {});
				break;
			}

			case 'blob-get': {
				const found = objects.get(name);
				res.writeHead(found === undefined ? 404 : 200).end(found);
				break;
			}

			case 'blob-drop': {
				objects.delete(name);
				sendJson(res, 200, {});
				break;
			}

			case 'blob-list': {
				const prefix = url.searchParams.get('path-prefix') ?? '';
				const after = url.searchParams.get('after') ?? '';
				sendJson(res, 200, {names: [...objects.keys()].filter(key => key.startsWith(prefix) && key > after).toSorted(), 'has-more': false});
				break;
			}

			default: {
				sendJson(res, 404, {});
			}
		}
	}
}

function toId(table, key) {
	return `${table}\n${key}`;
}

function compare(a, b) {
	return Buffer.compare(Buffer.from(a), Buffer.from(b));
}
