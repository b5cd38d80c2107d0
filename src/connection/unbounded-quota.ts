/**
 * The quota of deployments whose upstreams bound the work by themselves.
 */
import type {TeamQuota} from './types.js';

/** Takes every job at once. */
export const unboundedQuota: TeamQuota = {
	acquire(_team, _tasks, done) {
		done(true);
	},
	release: () => undefined,
};
