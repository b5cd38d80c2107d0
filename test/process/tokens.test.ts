import fc from 'fast-check';
import type {Diagnostic} from '../../src/process/diagnostics.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {createMemoryPlatform} from '../../src/process/platform/memory.js';
import {createTokenDirectory, createTokenRow} from '../../src/process/tokens.js';
import {describe, it} from '../describe.js';
import {createOddTexts, oddInputRuns} from '../odd-input.js';
import {unwrap} from '../unwrap.js';

const caller = {name: 'ordering-app', role: 'caller', team: 'lunch'} as const;

describe('token directory', () => {
	it('authenticates the bearer of a token and refuses any other text', async t => {
		const {platform, directory} = createFixture();
		const token = createTokenRow('app1', caller);
		await unwrap(platform.table.commit({conditions: [], writes: [token.write]}));
		t.false(directory.isLoaded());
		await directory.refresh();
		t.true(directory.isLoaded());
		t.deepEqual(directory.authenticate(token.text)._unsafeUnwrap(), caller);
		for (const text of ['', 'app1', 'app1.', `app1.x${token.text.slice(5)}`, `app2${token.text.slice(4)}`, `${token.text}x`]) {
			t.is(directory.authenticate(text)._unsafeUnwrapErr().kind, 'TokenUnknown', text);
		}

		t.false(token.write.value!.includes(token.text.slice(5)), 'the row does not hold the secret');
	});

	it('authenticates the bearers of all other tokens, whatever one row contains', async t => {
		const row = {
			name: 'x', role: 'caller', team: 'lunch', secretSha256: '0'.repeat(64),
		};
		await fc.assert(fc.asyncProperty(createOddTexts(row), async value => {
			const {platform, directory} = createFixture();
			const token = createTokenRow('app1', caller);
			await unwrap(platform.table.commit({conditions: [], writes: [token.write, {key: 'tokens/odd', value}]}));
			await directory.refresh();
			t.deepEqual(directory.authenticate(token.text)._unsafeUnwrap(), caller);
			t.true(directory.authenticate('odd.x').isErr());
		}), oddInputRuns);
	});

	it('keeps the loaded tokens during an outage', async t => {
		const {platform, directory, diagnostics} = createFixture();
		const token = createTokenRow('app1', caller);
		await unwrap(platform.table.commit({conditions: [], writes: [token.write]}));
		await directory.refresh();
		platform.setFaults({down: true});
		await directory.refresh();
		t.true(directory.authenticate(token.text).isOk());
		t.deepEqual(diagnostics.map(diagnostic => diagnostic.kind), ['PlatformUnreachable']);
	});

	it('does not accept a deleted token again because of a stale read', async t => {
		const {clock, platform, directory} = createFixture();
		const token = createTokenRow('app1', caller);
		await unwrap(platform.table.commit({conditions: [], writes: [token.write]}));
		await directory.refresh();
		clock.advance(10_000);
		await unwrap(platform.table.commit({conditions: [], writes: [{key: token.write.key, value: undefined}]}));
		await directory.refresh();
		t.true(directory.authenticate(token.text).isErr());
		platform.setFaults({oldReadsMs: 5000});
		await directory.refresh();
		t.true(directory.authenticate(token.text).isErr());
	});

	it('accepts a new token again after a stale read did not return it', async t => {
		const {clock, platform, directory} = createFixture();
		clock.advance(10_000);
		const token = createTokenRow('app1', caller);
		await unwrap(platform.table.commit({conditions: [], writes: [token.write]}));
		await directory.refresh();
		platform.setFaults({oldReadsMs: 5000});
		await directory.refresh();
		t.true(directory.authenticate(token.text).isErr());
		platform.setFaults({oldReadsMs: 0});
		clock.advance(60_000);
		await directory.refresh();
		t.true(directory.authenticate(token.text).isOk());
	});

	it('reads all pages and skips an invalid row', async t => {
		const {platform, directory, diagnostics} = createFixture();
		const tokens = Array.from({length: 2001}, (_, index) => createTokenRow(`app${index}`, caller, `secret${index}`));
		await unwrap(platform.table.commit({conditions: [], writes: [...tokens.map(token => token.write), {key: 'tokens/bad', value: '{}'}]}));
		await directory.refresh();
		t.true(tokens.every(token => directory.authenticate(token.text).isOk()));
		t.deepEqual(diagnostics.map(diagnostic => diagnostic.kind), ['RowInvalid']);
	});
});

function createFixture() {
	const clock = createFakeClock();
	const platform = createMemoryPlatform({clock});
	const diagnostics: Diagnostic[] = [];
	const directory = createTokenDirectory({table: platform.table, clock, onDiagnostic: diagnostic => diagnostics.push(diagnostic)});
	return {
		clock, platform, directory, diagnostics,
	};
}
