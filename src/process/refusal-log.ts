/**
 * Counts what a process refuses to its clients to stay within its limits, and logs it in a bounded number of lines.
 */
import type {Clock, Milliseconds} from './clock.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';

/** Dependencies of the log. */
export type RefusalLogHost = {
	readonly clock: Pick<Clock, 'after'>;
	readonly log: Pick<Log, 'warn'>;
	readonly metrics: Pick<Metrics, 'count'>;
};

/** Why a request was refused or a connection was closed. */
export type RefusalCause =
	/** The memory for requests was full. */
	| 'request-memory'
	/** The number of connections was at its bound. */
	| 'connections'
	/** Too many clients sent requests in very small chunks. */
	| 'small-chunks'
	/** A request was not received whole in time. */
	| 'timeout'
	/** The bytes received were no request. */
	| 'malformed';

/** The refusals of a process. */
export type RefusalLog = {
	/** Counts a refusal of the server `server`. */
	add(server: string, cause: RefusalCause): void;
};

/** Time that one line covers. */
const intervalMs: Milliseconds = 1000;

/** Creates a log without refusals. */
export function createRefusalLog({clock, log, metrics}: RefusalLogHost): RefusalLog {
	/** Refusals since the last line, by server and cause; 0 while an interval ends without any. */
	const counts = new Map<string, number>();

	return {
		add(server, cause) {
			metrics.count('http.refused', 1, {server, cause});
			const key = `${server} ${cause}`;
			const count = counts.get(key);
			counts.set(key, (count ?? 0) + 1);
			if (count === undefined) {
				report(key, server, cause);
			}
		},
	};

	function report(key: string, server: string, cause: RefusalCause): void {
		const count = counts.get(key);
		if (count === 0) {
			counts.delete(key);
			return;
		}

		log.warn({server, cause, count}, 'clients refused to stay within the limits');
		counts.set(key, 0);
		clock.after(intervalMs, () => {
			report(key, server, cause);
		});
	}
}
