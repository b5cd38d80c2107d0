/**
 * Metrics in Prometheus text format, through prom-client.
 */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {Metrics, MetricTags} from './metrics.js';

/** Metrics that are served as text. */
export type PrometheusMetrics = Metrics & {
	/** Returns all metrics in Prometheus text format. */
	getText(): Promise<string>;
};

/** Upper bounds of the histogram buckets of all durations, in milliseconds: from a round trip to the longest deadline. */
const durationBucketsMs = [1, 2, 5, 10, 25, 50, 100, 150, 250, 400, 600, 1000, 1500, 2500, 5000];

/** Creates the metrics of one process; `tags` are added to all of them. */
export function createPrometheusMetrics(tags: MetricTags): PrometheusMetrics {
	const registry = new Registry();
	registry.setDefaultLabels(tags);
	const counters = new Map<string, Counter>();
	const gauges = new Map<string, Gauge>();
	const histograms = new Map<string, Histogram>();

	return {
		count(name, value = 1, metricTags = {}) {
			getOrCreate(counters, name, options => new Counter(options), metricTags).inc(metricTags, value);
		},
		gauge(name, value, metricTags = {}) {
			getOrCreate(gauges, name, options => new Gauge(options), metricTags).set(metricTags, value);
		},
		time(name, duration, metricTags = {}) {
			getOrCreate(histograms, name, options => new Histogram({...options, buckets: durationBucketsMs}), metricTags).observe(metricTags, duration);
		},
		close: async () => undefined,
		getText: async () => registry.metrics(),
	};

	function getOrCreate<T>(registered: Map<string, T>, name: string, create: (options: MetricOptions) => T, metricTags: MetricTags): T {
		const found = registered.get(name);
		if (found !== undefined) {
			return found;
		}

		const created = create({
			name: `kingcuplane_${name.replaceAll('.', '_')}`, help: name, labelNames: Object.keys(metricTags), registers: [registry],
		});
		registered.set(name, created);
		return created;
	}
}

type MetricOptions = {
	readonly name: string;
	readonly help: string;
	readonly labelNames: string[];
	readonly registers: Registry[];
};
