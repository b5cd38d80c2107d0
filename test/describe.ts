/**
 * Nested groups of tests over ava, which has none: a group's name is put before the names of its tests.
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

/** Declares one test of the innermost group. */
export function it(name: string, body: TestBody): void {
	test([...path, name].join(' › '), body);
}

/** Declares one test that runs while no other test of its file runs. */
export function itSerial(name: string, body: TestBody): void {
	test.serial([...path, name].join(' › '), body);
}
