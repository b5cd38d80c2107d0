/**
 * Tells when the input that waits in the connections of this process has been read. In each poll phase of the event loop, Node
 * reads a connection until nothing more waits in it. The end of a connection is read in the phase after that of its last bytes.
 */
import type {Socket} from 'node:net';

/** The part of a connection that tells whether it was read. */
export type ReadConnection = Pick<Socket, 'bytesRead' | 'destroyed'>;

/** Runs `action` once the event loop has polled all connections for input, which begins after this call. */
export type AfterPoll = (action: () => void) => void;

type UnreadConnection = {
	readonly connection: ReadConnection;
	readonly bytesRead: number;
	/** Whether the last phase has read all bytes, so that only the end may be left. */
	readonly isEmptied: boolean;
	readonly isEndAwaited: boolean;
};

/** Size of Node's buffers: a phase that reads fewer bytes of a connection has emptied it. */
const fullReadBytes = 65_536;

/** Calls `action` once everything has been read that these connections have received by now, their ends included. */
export function afterInputRead(connections: Iterable<ReadConnection>, poll: AfterPoll, action: () => void): void {
	pollUnread(sample(connections), poll, action);
}

/** Calls `action` once all bytes have been read that these connections have received by now. */
export function afterBytesRead(connections: Iterable<ReadConnection>, poll: AfterPoll, action: () => void): void {
	pollUnread(sample(connections).map(unread => ({...unread, isEndAwaited: false})), poll, action);
}

/** {@link AfterPoll} for the event loop of this process. */
export function afterPoll(action: () => void): void {
	// The first turn may belong to the poll phase that runs now; a whole one precedes the second turn.
	setImmediate(setImmediate, action);
}

function sample(connections: Iterable<ReadConnection>): readonly UnreadConnection[] {
	return Array.from(connections, connection => ({
		connection, bytesRead: connection.bytesRead, isEmptied: false, isEndAwaited: true,
	}));
}

function pollUnread(unread: readonly UnreadConnection[], poll: AfterPoll, action: () => void): void {
	poll(() => {
		const stillUnread = unread.flatMap(({connection, bytesRead, isEmptied, isEndAwaited}) => {
			const growth = connection.bytesRead - bytesRead;
			const isEmptiedNow = growth < fullReadBytes;
			const isRead = connection.destroyed || growth === 0 || isEmptied || (isEmptiedNow && !isEndAwaited);
			return isRead
				? []
				: [{
					connection, bytesRead: connection.bytesRead, isEmptied: isEmptiedNow, isEndAwaited,
				}];
		});
		if (stillUnread.length === 0) {
			action();
		} else {
			pollUnread(stillUnread, poll, action);
		}
	});
}
