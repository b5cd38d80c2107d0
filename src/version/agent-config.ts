/**
 * The part of a configuration version that applies to one agent.
 */
import type {AgentInfo} from '../connection/types.js';
import type {ConfigUpdate} from '../generated/kingcuplane.js';
import type {Snapshot} from './types.js';

/** Returns what a version means for an agent; undefined if no version is in force. */
export function tryGetAgentConfig(snapshot: Snapshot | undefined, agent: AgentInfo): ConfigUpdate | undefined {
	if (snapshot === undefined) {
		return undefined;
	}

	const upstream = snapshot.upstreams.get(agent.upstream);
	const service = snapshot.services.get(agent.service);
	const policy = service === undefined ? undefined : snapshot.policies.get(service.policy);
	return {
		version: snapshot.version,
		slots: upstream?.slots ?? 0,
		taskTimeoutMs: policy?.taskTimeout ?? 0,
		drain: upstream?.drain ?? false,
	};
}
