/**
 * Options of all gRPC channels and servers between entries and agents.
 */

/**
 * The keepalive detects a dead or paused peer within a few seconds, and the message limits let one batch carry a full job.
 */
export const channelOptions = {
	'grpc.keepalive_time_ms': 2000,
	'grpc.keepalive_timeout_ms': 2000,
	'grpc.keepalive_permit_without_calls': 1,
	'grpc.http2.min_time_between_pings_ms': 1000,
	'grpc.max_receive_message_length': 64 * 1024 * 1024,
	'grpc.max_send_message_length': 64 * 1024 * 1024,
	'grpc.initial_reconnect_backoff_ms': 100,
	'grpc.max_reconnect_backoff_ms': 500,
	// Each address belongs to a different process; sharing subchannels would couple their failures.
	'grpc.use_local_subchannel_pool': 1,
} as const;
