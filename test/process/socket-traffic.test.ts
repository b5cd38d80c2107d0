import {channel} from 'node:diagnostics_channel';
import {createSocketTraffic} from '../../src/process/socket-traffic.js';
import {describe, itSerial} from '../describe.js';

type FakeSocket = {
	bytesRead: number;
	bytesWritten: number;
	localPort: number;
	remotePort: number | undefined;
	close(): void;
	once(event: 'close', listener: () => void): void;
};

function createSocket(remotePort: number | undefined): FakeSocket {
	const socket: FakeSocket = {
		bytesRead: 0,
		bytesWritten: 0,
		localPort: 80,
		remotePort,
		close: () => undefined,
		once(_event, listener) {
			socket.close = listener;
		},
	};
	return socket;
}

describe('the traffic of a process', () => {
	itSerial('is counted by purpose, with connections that have ended and others that are not established yet', t => {
		const traffic = createSocketTraffic((socket, isAccepted) => isAccepted ? 'clients' : `port ${socket.remotePort}`);
		const accepted = createSocket(5000);
		const opened = createSocket(undefined);
		channel('net.server.socket').publish({socket: accepted});
		channel('net.client.socket').publish({socket: opened});
		Object.assign(accepted, {bytesRead: 10, bytesWritten: 20});
		t.deepEqual([...traffic.getCounts()], [['clients', {received: 10, sent: 20}]]);
		Object.assign(accepted, {bytesRead: 15, bytesWritten: 20});
		accepted.close();
		Object.assign(opened, {remotePort: 7000, bytesRead: 1, bytesWritten: 2});
		t.deepEqual([...traffic.getCounts()], [['clients', {received: 15, sent: 20}], ['port 7000', {received: 1, sent: 2}]]);
		traffic.stop();
		channel('net.server.socket').publish({socket: createSocket(1)});
		t.is(traffic.getCounts().size, 2);
	});
});
