/**
 * A loopback proxy in front of the links of each entry, whose open channels can be reset.
 */
import net from 'node:net';

const firstProxy = 50;

/** Starts a proxy for each entry. Agents and the other entries reach its links through it. */
export async function startLinkProxies({entries, ports, network}) {
	const proxies = await Promise.all(entries.map(async (entry, i) => startProxy({host: `${network}.${firstProxy + i}`, port: ports.links}, {host: entry.ip, port: ports.links})));
	return {
		addresses: proxies.map(({address}) => address),
		proxies,
		async close() {
			await Promise.all(proxies.map(async proxy => proxy.close()));
		},
	};
}

/** Starts a proxy at `address` that leads to `target`. */
async function startProxy(address, target) {
	const channels = new Set();
	const server = net.createServer(client => {
		const upstream = net.connect(target);
		const channel = [client, upstream];
		channels.add(channel);
		for (const [from, to] of [[client, upstream], [upstream, client]]) {
			from.setNoDelay(true);
			from.on('error', () => undefined);
			from.on('close', () => {
				channels.delete(channel);
				to.destroy();
			});
			from.pipe(to);
		}
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, resolve);
	});

	return {
		address,
		/** Resets this share of the open channels; new ones work. Returns how many. */
		reset(share) {
			const chosen = [...channels].slice(0, Math.floor(channels.size * share));
			for (const [client, upstream] of chosen) {
				client.resetAndDestroy();
				upstream.resetAndDestroy();
			}

			return chosen.length;
		},
		async close() {
			for (const [client, upstream] of channels) {
				client.destroy();
				upstream.destroy();
			}

			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}
