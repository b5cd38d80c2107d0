/**
 * The service of the executor beside an agent, by which announcements of other writers are recognized.
 */
import type {Clock, Milliseconds} from '../process/clock.js';
import type {Log} from '../process/log.js';

/** Dependencies of the own service. */
export type OwnServiceHost = {
	readonly clock: Clock;
	readonly log: Log;
	/** The service that the settings named at the start; undefined if they name none. */
	readonly service: string | undefined;
	/** Reads the service from the settings as they are now; undefined if they name none or cannot be read. */
	readService(): string | undefined;
};

/** Whether a service is that of the executor beside this agent. Any service is, if the settings name none. */
export type IsOwnService = (service: string) => boolean;

/** Least time between two reads of the settings, as another writer may name other services at any rate. */
const rereadMs: Milliseconds = 1000;

/** Creates the check. The settings may change at any time, so they are read again when a service differs. */
export function createOwnServiceCheck({
	clock, log, service, readService,
}: OwnServiceHost): IsOwnService {
	let own = service;
	let readAt = -Infinity;

	return named => {
		if (own !== undefined && named !== own && clock.now() >= readAt + rereadMs) {
			readAt = clock.now();
			reread();
		}

		return own === undefined || named === own;
	};

	function reread(): void {
		const read = readService();
		if (read !== undefined && read !== own) {
			log.info({before: own, service: read}, 'the settings name another service for the executor');
			own = read;
		}
	}
}
