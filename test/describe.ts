/**
 * Nested test groups for ava, which has none: the title of a test starts with the names of its groups.
 */
import test, {type ExecutionContext} from 'ava';

/** The body of one test. */
export type TestBody = (t: ExecutionContext) => void | Promise<void>;

const path: string[] = [];

/** Declares a group; `body` declares tests with {@link it} and further groups. */
export function describe(name: string, body: () => void): void {
	path.push(name);
	body();
	path.pop();
}

/** Declares a test in the innermost group. */
export function it(name: string, body: TestBody): void {
	test([...path, name].join(' › '), body);
}

/** Declares a test that does not run concurrently with other tests of its file. */
export function itSerial(name: string, body: TestBody): void {
	test.serial([...path, name].join(' › '), body);
}
