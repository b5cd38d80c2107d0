/**
 * The gRPC channel of an entry to another one.
 */
import {credentials} from '@grpc/grpc-js';
import {PeerClient} from '../generated/kingcuplane.js';
import {createChannelOptions} from './channel-options.js';
import type {LinkTiming} from './link-timing.js';
import type {PeerConnection} from './peer-types.js';

/** Creates a channel to the entry at "IP:port". */
export function connectToPeer(address: string, timing: Pick<LinkTiming, 'silence'>): PeerConnection {
	return new PeerClient(address, credentials.createInsecure(), createChannelOptions(timing, 'peers'));
}
