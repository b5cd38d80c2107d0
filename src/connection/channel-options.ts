/**
 * Options of all gRPC channels and servers between entries and agents.
 */
import type {Milliseconds} from '../process/clock.js';
import type {LinkTiming} from './link-timing.js';

/** What a channel or a server connects. */
export type ChannelUse = 'links' | 'peers' | 'server';

/** The message limits let one batch carry a full job. */
const commonOptions = {
	'grpc.keepalive_permit_without_calls': 1,
	'grpc.http2.min_time_between_pings_ms': 1000,
	'grpc.max_receive_message_length': 64 * 1024 * 1024,
	'grpc.max_send_message_length': 64 * 1024 * 1024,
	'grpc.initial_reconnect_backoff_ms': 100,
	'grpc.max_reconnect_backoff_ms': 500,
	// Each address belongs to a different process; sharing subchannels would couple their failures.
	'grpc.use_local_subchannel_pool': 1,
} as const;

/** Interval and timeout of the pings that detect a dead or paused peer within a few seconds. */
const keepaliveMs: Milliseconds = 2000;
/** Interval of pings that only free what a vanished peer has left behind. */
const cleanupKeepaliveMs: Milliseconds = 20_000;

/**
 * Returns the options of a channel or server. Links with silence timeouts of their own need no pings, which at a few hundred
 * machines would cost a small machine more than its heartbeats.
 */
export function createChannelOptions({silence}: Pick<LinkTiming, 'silence'>, use: ChannelUse): Readonly<Record<string, number>> {
	return {...commonOptions, ...createKeepalive(silence !== undefined, use)};
}

function createKeepalive(hasSilenceTimeouts: boolean, use: ChannelUse): Readonly<Record<string, number>> {
	if (!hasSilenceTimeouts || use === 'peers') {
		return {'grpc.keepalive_time_ms': keepaliveMs, 'grpc.keepalive_timeout_ms': keepaliveMs};
	}

	return use === 'server' ? {'grpc.keepalive_time_ms': cleanupKeepaliveMs, 'grpc.keepalive_timeout_ms': cleanupKeepaliveMs} : {};
}
