/**
 * Metrics in StatsD format over UDP, through hot-shots. Without an address, each costs one call of an empty function.
 */
import {StatsD} from 'hot-shots';
import type {Milliseconds} from './clock.js';
import type {MetricsSettings} from './settings.js';

/** Dimensions of a metric; each value must come from a small set. */
export type MetricTags = Readonly<Record<string, string>>;

/** Sends metrics; names are relative to the prefix in the settings. */
export type Metrics = {
	/** Adds `value`, 1 by default, to a counter. */
	count(name: string, value?: number, tags?: MetricTags): void;
	/** Sets the current value of a gauge. */
	gauge(name: string, value: number, tags?: MetricTags): void;
	/** Records one duration. */
	time(name: string, duration: Milliseconds, tags?: MetricTags): void;
	/** Sends all buffered metrics and closes the socket. */
	close(): Promise<void>;
};

/** Dependencies of the metrics. */
export type MetricsHost = {
	readonly settings: MetricsSettings;
	/** Added to all metrics, for instance the role and name of the process. */
	readonly tags: MetricTags;
	/** Called when metrics could not be sent. They are lost, which has no other effect. */
	onError(err: Error): void;
};

const maxBufferBytes = 1400;
const flushIntervalMs: Milliseconds = 1000;

/** Creates the metrics of one process. */
export function createMetrics({settings, tags, onError}: MetricsHost): Metrics {
	const {address, prefix} = settings;
	if (address === undefined) {
		return noMetrics;
	}

	const client = new StatsD({
		host: address.host,
		port: address.port,
		prefix,
		globalTags: tags,
		maxBufferSize: maxBufferBytes,
		bufferFlushInterval: flushIntervalMs,
		errorHandler: onError,
	});
	return {
		count(name, value = 1, metricTags = {}) {
			client.increment(name, value, metricTags);
		},
		gauge(name, value, metricTags = {}) {
			client.gauge(name, value, metricTags);
		},
		time(name, duration, metricTags = {}) {
			client.timing(name, duration, metricTags);
		},
		async close() {
			await new Promise<void>(resolve => {
				client.close(() => {
					resolve();
				});
			});
		},
	};
}

/** Metrics that discard everything. */
export const noMetrics: Metrics = {
	count: () => undefined,
	gauge: () => undefined,
	time: () => undefined,
	close: async () => undefined,
};
