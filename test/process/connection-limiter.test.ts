import {createConnectionLimiter, type LimitedConnection} from '../../src/process/connection-limiter.js';
import {describe, it} from '../describe.js';

type TestConnection = LimitedConnection & {
	readonly name: string;
	isBusy: boolean;
	isClosed: boolean;
};

function connect(name: string): TestConnection {
	return {
		name,
		isBusy: false,
		isClosed: false,
		isServing() {
			return this.isBusy;
		},
		close() {
			this.isClosed = true;
		},
	};
}

function getClosed(connections: readonly TestConnection[]): readonly string[] {
	return connections.filter(({isClosed}) => isClosed).map(({name}) => name);
}

describe('connections of clients', () => {
	it('are not closed up to their bound', t => {
		const limiter = createConnectionLimiter(3);
		const connections = ['a', 'b', 'c'].map(name => connect(name));
		for (const connection of connections) {
			limiter.add(connection);
		}

		t.deepEqual(getClosed(connections), []);
	});

	// Guards against an entry that has no descriptors left: clients connected and sent nothing.
	it('give way to new ones, first those that have waited longest for their clients', t => {
		const limiter = createConnectionLimiter(3);
		const connections = ['a', 'b', 'c', 'd', 'e'].map(name => connect(name));
		const [first, second, third, fourth, fifth] = connections;
		limiter.add(first!);
		limiter.add(second!);
		limiter.add(third!);
		limiter.renew(first!);
		limiter.add(fourth!);
		t.deepEqual(getClosed(connections), ['b']);
		limiter.add(fifth!);
		t.deepEqual(getClosed(connections), ['b', 'c']);
	});

	it('stay while a request is being served, also if the new one has to go', t => {
		const limiter = createConnectionLimiter(2);
		const connections = ['a', 'b', 'c', 'd'].map(name => connect(name));
		const [first, second, third, fourth] = connections;
		limiter.add(first!);
		limiter.add(second!);
		first!.isBusy = true;
		limiter.add(third!);
		t.deepEqual(getClosed(connections), ['b']);
		third!.isBusy = true;
		limiter.add(fourth!);
		t.deepEqual(getClosed(connections), ['b', 'd']);
	});

	it('do not count any more when they have ended', t => {
		const limiter = createConnectionLimiter(1);
		const connections = ['a', 'b'].map(name => connect(name));
		const [first, second] = connections;
		limiter.add(first!);
		limiter.remove(first!);
		limiter.renew(first!);
		limiter.add(second!);
		t.deepEqual(getClosed(connections), []);
	});
});
