/**
 * HTTP servers and calls of the stand-ins.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';

/** Starts a server whose handler may be asynchronous; port 0 lets the system choose. */
export async function listen(host, port, handle) {
	const server = http.createServer(async (req, res) => {
		try {
			await handle(req, res);
		} catch (err) {
			if (!res.headersSent) {
				sendJson(res, 400, {error: String(err)});
			}
		}
	});
	server.keepAliveTimeout = 60_000;
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return {
		port: server.address().port,
		/** Closes the server, and resets its connections. */
		async close() {
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}

/** Reads a whole body. */
export async function readBody(stream) {
	const chunks = [];
	for await (const chunk of stream) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/** Sends a JSON response. */
export function sendJson(res, status, body) {
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(JSON.stringify(body));
}

/** Makes a call on a connection of its own; resolves to undefined if there is no whole response in time. */
export async function call({host, port, method, path, headers = {}, body, timeoutMs = 60_000}) {
	return new Promise(resolve => {
		const req = http.request({
			host, port, method, path, headers, agent: false, timeout: timeoutMs,
		}, async res => {
			try {
				const bytes = await readBody(res);
				resolve({status: res.statusCode, body: bytes.toString(), headers: res.headers});
			} catch {
				resolve(undefined);
			}
		});
		req.on('timeout', () => {
			req.destroy();
		});
		req.on('error', () => {
			resolve(undefined);
		});
		req.end(body);
	});
}
