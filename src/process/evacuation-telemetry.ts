/**
 * Logs and measures at an entry which data centres are evacuated.
 */
import type {EvacuationChange, EvacuationList} from '../version/evacuations.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';

/** Dependencies of the telemetry. */
export type EvacuationTelemetryHost = {
	readonly log: Log;
	readonly metrics: Metrics;
};

/** The telemetry of one entry. */
export type EvacuationTelemetry = {
	recordChange(list: EvacuationList, change: EvacuationChange): void;
	updateGauges(): void;
};

/** Creates telemetry that knows of no evacuation. */
export function createEvacuationTelemetry({log, metrics}: EvacuationTelemetryHost): EvacuationTelemetry {
	/** Whether a data centre is evacuated, for each one that ever was since this process started. */
	const states = new Map<string, boolean>();

	return {
		recordChange({revision, dataCentres}, change) {
			for (const dataCentre of change.evacuated) {
				states.set(dataCentre, true);
			}

			for (const dataCentre of change.restored) {
				states.set(dataCentre, false);
			}

			log.warn({revision, dataCentres, ...change}, 'evacuated data centres have changed');
			updateGauges();
		},
		updateGauges,
	};

	function updateGauges(): void {
		for (const [dataCentre, isEvacuated] of states) {
			metrics.gauge('evacuated', isEvacuated ? 1 : 0, {dataCentre});
		}
	}
}
