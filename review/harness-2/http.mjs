/** Small helpers for HTTP and time. */
import {Buffer} from 'node:buffer';
import http from 'node:http';

/** Resolves after `ms` milliseconds. */
export async function sleep(ms) {
	return new Promise(resolve => {
		setTimeout(resolve, Math.max(0, ms));
	});
}

/** Reads the body of a request or a response. */
export async function readBody(stream) {
	const chunks = [];
	for await (const chunk of stream) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/** Sends a JSON response. */
export function sendJson(res, status, body) {
	res.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
}

/**
 * Sends a request. Resolves to its status and body; the status is 0 if the channel broke or there was no response in time.
 * `address` is "IP:port".
 */
export async function request(address, {
	method = 'GET', path, headers = {}, body, agent, timeoutMs = 5000,
}) {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const req = http.request({
			host, port, method, path, agent, headers: {'content-type': 'application/json', ...headers},
		}, res => {
			receive(res);
		});
		const timer = setTimeout(() => {
			req.destroy(new Error(`no response within ${timeoutMs} ms`));
		}, timeoutMs);
		req.on('error', err => {
			finish({status: 0, text: err.message});
		});
		req.end(body);

		async function receive(res) {
			try {
				const bytes = await readBody(res);
				finish({status: res.statusCode, text: bytes.toString()});
			} catch (err) {
				finish({status: 0, text: err.message});
			}
		}

		function finish(reply) {
			clearTimeout(timer);
			resolve(reply);
		}
	});
}
