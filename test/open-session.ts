/**
 * Sessions of an entry with agents whose hellos arrive at once.
 */
import type {AgentSession, AgentSessions} from '../src/connection/agent-sessions.js';
import type {AgentHello} from '../src/generated/kingcuplane.js';

/** Opens the session of an agent that answers a welcome sent now. Throws if the hello is outdated all the same. */
export function openSession(sessions: Pick<AgentSessions, 'open' | 'recordWelcome'>, hello: AgentHello): AgentSession {
	return sessions.open(hello, sessions.recordWelcome())._unsafeUnwrap();
}
