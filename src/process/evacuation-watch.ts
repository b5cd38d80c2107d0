/**
 * Tells an agent whether its data centre is evacuated, and logs when that begins, when the last task has ended and when it
 * is over.
 */
import type {EvacuationHolder} from '../version/evacuations.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';

/** Dependencies of the watch. */
export type EvacuationWatchHost = {
	readonly evacuations: EvacuationHolder;
	readonly dataCentre: string;
	readonly log: Log;
	readonly metrics: Metrics;
	getRunningTasks(): number;
	/** Called when an evacuation of the data centre has begun or is over. */
	onChanged(): void;
};

/** The watch of one agent. */
export type EvacuationWatch = {
	isEvacuated(): boolean;
	/** To be called when a run has ended. */
	recordRunEnd(): void;
	updateGauge(): void;
	stop(): void;
};

/** Creates the watch. `onChanged` is not called for an evacuation that is known already. */
export function createEvacuationWatch(host: EvacuationWatchHost): EvacuationWatch {
	const {evacuations, dataCentre, log} = host;
	let isEvacuated = evacuations.isEvacuated(dataCentre);
	const stop = evacuations.onChange(({revision}) => {
		if (isEvacuated === evacuations.isEvacuated(dataCentre)) {
			return;
		}

		isEvacuated = !isEvacuated;
		log.warn({dataCentre, revision, running: host.getRunningTasks()}, isEvacuated ? 'data centre is evacuated; no task is started' : 'evacuation of the data centre is over');
		host.onChanged();
	});

	return {
		isEvacuated: () => isEvacuated,
		recordRunEnd() {
			if (isEvacuated && host.getRunningTasks() === 0) {
				log.info({dataCentre, revision: evacuations.tryGet()?.revision}, 'last task in the evacuated data centre has ended here');
			}
		},
		updateGauge() {
			host.metrics.gauge('evacuated', isEvacuated ? 1 : 0);
		},
		stop,
	};
}
