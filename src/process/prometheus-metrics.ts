/**
 * Metrics that a scraper fetches as text, through prom-client.
 */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {Metrics, MetricTags} from './metrics.js';

/** Metrics and the text to serve. */
export type PrometheusMetrics = Metrics & {
	getText(): Promise<string>;
};

/** Upper bounds of the buckets of all durations, in milliseconds: from a round trip to the longest deadline. */
const buckets = [1, 2, 5, 10, 25, 50, 100, 150, 250, 400, 600, 1000, 1500, 2500, 5000];

/** Creates the metrics of one process; `tags` are added to all of them. */
export function createPrometheusMetrics(tags: MetricTags): PrometheusMetrics {
	const registry = new Registry();
	registry.setDefaultLabels(tags);
	const counters = new Map<string, Counter>();
	const gauges = new Map<string, Gauge>();
	const histograms = new Map<string, Histogram>();

	return {
		count(name, value = 1, extra = {}) {
			getOrCreate(counters, name, facts => new Counter(facts), extra).inc(extra, value);
		},
		gauge(name, value, extra = {}) {
			getOrCreate(gauges, name, facts => new Gauge(facts), extra).set(extra, value);
		},
		time(name, duration, extra = {}) {
			getOrCreate(histograms, name, facts => new Histogram({...facts, buckets}), extra).observe(extra, duration);
		},
		close: async () => undefined,
		getText: async () => registry.metrics(),
	};

	function getOrCreate<T>(known: Map<string, T>, name: string, create: (facts: MetricFacts) => T, extra: MetricTags): T {
		const found = known.get(name);
		if (found !== undefined) {
			return found;
		}

		const created = create({
			name: `kingcuplane_${name.replaceAll('.', '_')}`, help: name, labelNames: Object.keys(extra), registers: [registry],
		});
		known.set(name, created);
		return created;
	}
}

type MetricFacts = {
	readonly name: string;
	readonly help: string;
	readonly labelNames: string[];
	readonly registers: Registry[];
};
