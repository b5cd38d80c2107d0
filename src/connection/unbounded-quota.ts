/**
 * The team quota of deployments in which the upstreams limit the work themselves.
 */
import type {TeamQuota} from './types.js';

/** A quota without a limit: every request for quota succeeds at once. */
export const unboundedQuota: TeamQuota = {
	acquire(_team, _tasks, done) {
		done(true);
	},
	release: () => undefined,
};
