/**
 * Detects that one end of a link has become silent. The other end must be heard often while runs depend on the link, and
 * seldom otherwise, so that the messages at rest do not grow with the number of links. A received message costs no timer:
 * the pending one is extended only when it fires.
 */
import type {Clock, Milliseconds, Timer} from '../process/clock.js';

/** Dependencies of a monitor. */
export type SilenceMonitorHost = {
	readonly clock: Clock;
	/** Allowed time without a message while runs depend on the link. */
	readonly timeoutMs: Milliseconds;
	/** The same while none does. */
	readonly idleTimeoutMs: Milliseconds;
	onSilent(): void;
};

/** Monitors one link from its creation until it is stopped or has reported silence. */
export type SilenceMonitor = {
	recordMessage(): void;
	/** Records a suspension of this process that its clock did not count. */
	recordPause(uncounted: Milliseconds): void;
	/** Sets whether runs depend on the link. The shorter timeout counts from the last message or from this call. */
	setActive(isActive: boolean): void;
	stop(): void;
};

/** Creates a monitor of an idle link that has just received a message. */
export function createSilenceMonitor(host: SilenceMonitorHost): SilenceMonitor {
	const {clock} = host;
	let heardAt = clock.now();
	let activeSince: Milliseconds | undefined;
	let isStopped = false;
	let firesAt = getDeadline();
	let timer: Timer = clock.after(host.idleTimeoutMs, check);

	return {
		recordMessage() {
			heardAt = clock.now();
		},
		recordPause(uncounted) {
			heardAt -= uncounted;
			activeSince = activeSince === undefined ? undefined : activeSince - uncounted;
			if (!isStopped && getDeadline() < firesAt) {
				schedule();
			}
		},
		setActive(isActive) {
			if (isActive === (activeSince !== undefined)) {
				return;
			}

			activeSince = isActive ? clock.now() : undefined;
			if (!isStopped && getDeadline() < firesAt) {
				schedule();
			}
		},
		stop,
	};

	function getDeadline(): Milliseconds {
		return activeSince === undefined ? heardAt + host.idleTimeoutMs : Math.max(heardAt, activeSince) + host.timeoutMs;
	}

	function schedule(): void {
		timer.cancel();
		firesAt = getDeadline();
		timer = clock.after(Math.max(0, firesAt - clock.now()), check);
	}

	function check(): void {
		if (isStopped) {
			return;
		}

		if (clock.now() < getDeadline()) {
			schedule();
			return;
		}

		stop();
		host.onSilent();
	}

	function stop(): void {
		isStopped = true;
		timer.cancel();
	}
}
