/**
 * Metrics in StatsD form over UDP, through hot-shots. Without an address they cost one call of an empty function.
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
	/** States the present value of something. */
	gauge(name: string, value: number, tags?: MetricTags): void;
	/** Records one duration. */
	time(name: string, duration: Milliseconds, tags?: MetricTags): void;
	/** Sends what is buffered and closes the socket. */
	close(): Promise<void>;
};

/** What metrics need. */
export type MetricsHost = {
	readonly settings: MetricsSettings;
	/** Added to all metrics, for instance the role and name of the process. */
	readonly tags: MetricTags;
	/** Told of failures to send, which lose metrics and nothing else. */
	onError(err: Error): void;
};

const maxBufferBytes = 1400;
const flushMs: Milliseconds = 1000;

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
		bufferFlushInterval: flushMs,
		errorHandler: onError,
	});
	return {
		count(name, value = 1, extra = {}) {
			client.increment(name, value, extra);
		},
		gauge(name, value, extra = {}) {
			client.gauge(name, value, extra);
		},
		time(name, duration, extra = {}) {
			client.timing(name, duration, extra);
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

/** Metrics that go nowhere. */
export const noMetrics: Metrics = {
	count: () => undefined,
	gauge: () => undefined,
	time: () => undefined,
	close: async () => undefined,
};
