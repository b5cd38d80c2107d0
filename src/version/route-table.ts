/**
 * Finds the route of a request: the host decides first, then the longest path prefix.
 */
import type {Route} from './types.js';

/** Routes by host, longest prefix first. */
export type RouteTable = {
	tryFind(host: string, path: string): Route | undefined;
};

/** Creates the table of one version. */
export function createRouteTable(routes: readonly Route[]): RouteTable {
	const byHost = new Map<string, Route[]>();
	for (const route of routes) {
		const known = byHost.get(route.host);
		if (known === undefined) {
			byHost.set(route.host, [route]);
		} else {
			known.push(route);
		}
	}

	for (const known of byHost.values()) {
		known.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
	}

	return {
		tryFind: (host, path) => byHost.get(host)?.find(route => path.startsWith(route.pathPrefix)),
	};
}
