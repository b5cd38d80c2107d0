/**
 * Finds the route of a request: the host decides first, then the longest path prefix.
 */
import type {Route} from './types.js';

/** The routes of one configuration version. */
export type RouteTable = {
	tryFind(host: string, path: string): Route | undefined;
};

/** Creates the table of `routes`. */
export function createRouteTable(routes: readonly Route[]): RouteTable {
	const byHost = new Map<string, Route[]>();
	for (const route of routes) {
		const hostRoutes = byHost.get(route.host);
		if (hostRoutes === undefined) {
			byHost.set(route.host, [route]);
		} else {
			hostRoutes.push(route);
		}
	}

	for (const hostRoutes of byHost.values()) {
		hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
	}

	return {
		tryFind: (host, path) => byHost.get(host)?.find(route => path.startsWith(route.pathPrefix)),
	};
}
