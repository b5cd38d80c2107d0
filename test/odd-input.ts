/**
 * Generators of odd input for the tests of the edges: valid input of which one part is replaced by something that another
 * writer, or a faulty one, might put there.
 */
import {Buffer} from 'node:buffer';
import fc from 'fast-check';

/** Seed and length of the runs in CI. */
export const oddInputRuns = {seed: 40, numRuns: 400} as const;

const nestingDepth = 200_000;
const longTextLength = 100_000;

/** JSON texts of odd values, separated by tabs; some fit one field and not another. */
const shortJsonValues = String.raw`
null	true	{}	[]	[[]]	{"__proto__":{"x":1}}	0	-0	-1	0.5	-0.5	1.5	99999
1e15	9007199254740993	1e16	1e300	-1e300	1e999	-1e999	5e-324	4294967296	18446744073709551616
""	" "	"\u0000"	"a\nb"	"\ud800"	"\u00e9"	"NaN"	"1e300"	"-1"	"unknown"	"__proto__"	"constructor"
"10.0.0.1:99999"	"10.0.0.1:0"	"10.0.0.1: 80"	"10.0.0.1"	"host:80"	"0.0.0.0:80"	"[::1%lo]:80"	"unix:/x"
`;
const oddJsonValues: readonly string[] = [
	...shortJsonValues.trim().split(/[\t\n]/v),
	JSON.stringify('x'.repeat(longTextLength)),
	`${'['.repeat(nestingDepth)}${']'.repeat(nestingDepth)}`,
	`${'{"a":'.repeat(nestingDepth)}1${'}'.repeat(nestingDepth)}`,
	`[${'0,'.repeat(10_000)}0]`,
];

/** Texts that are no JSON at all. */
const brokenTexts: readonly string[] = ['', ' ', '{', '}', 'NaN', 'undefined', '{"a":1', '[1,', '\0', '{"a":NaN}', '['.repeat(nestingDepth)];

/** What is put in place of one part of valid input, or done to it. */
type Change =
	| {readonly kind: 'replaced'; readonly value: string}
	| {readonly kind: 'missing'}
	/** The key comes twice, with its valid value first. */
	| {readonly kind: 'repeated'; readonly value: string};

type Path = ReadonlyArray<string | number>;

/** Generates JSON texts that differ in one part from `valid`, and texts that are no JSON. */
export function createOddTexts(valid: unknown): fc.Arbitrary<string> {
	const paths = listPaths(valid);
	const value = fc.constantFrom(...oddJsonValues);
	const change = fc.oneof(
		{weight: 5, arbitrary: value.map((text): Change => ({kind: 'replaced', value: text}))},
		{weight: 1, arbitrary: fc.constant<Change>({kind: 'missing'})},
		{weight: 1, arbitrary: value.map((text): Change => ({kind: 'repeated', value: text}))},
	);
	return fc.oneof(
		{weight: 15, arbitrary: fc.tuple(fc.constantFrom(...paths), change).map(([path, made]) => applyChange(valid, path, made))},
		{weight: 1, arbitrary: fc.constantFrom(...brokenTexts)},
		{weight: 1, arbitrary: fc.json()},
	);
}

/** Generates the same as bytes, of which some are not valid UTF-8. */
export function createOddBytes(valid: unknown): fc.Arbitrary<Uint8Array> {
	const text = createOddTexts(valid).map(odd => Buffer.from(odd));
	const invalidBytes = fc.constantFrom([0xFF], [0xC0, 0x80], [0x80], [0xED, 0xA0, 0x80], [0xF5, 0x80, 0x80, 0x80], [0xE2, 0x82]);
	return fc.oneof(
		{weight: 4, arbitrary: text},
		{
			weight: 1, arbitrary: fc.tuple(text, invalidBytes, fc.nat()).map(([bytes, inserted, position]) => {
				const at = position % (bytes.length + 1);
				return Buffer.concat([bytes.subarray(0, at), Buffer.from(inserted), bytes.subarray(at)]);
			}),
		},
	);
}

/** Generates encoded messages that differ in some bytes from a valid one. */
export function createOddMessages(valid: Uint8Array): fc.Arbitrary<Uint8Array> {
	const changes = fc.array(fc.tuple(fc.nat(valid.length - 1), fc.nat(255)), {minLength: 1, maxLength: 6});
	return changes.map(made => {
		const bytes = Buffer.from(valid);
		for (const [position, byte] of made) {
			bytes[position] = byte;
		}

		return bytes;
	});
}

/** Generates texts of numbers, as headers and settings have them. */
export function createOddNumberTexts(): fc.Arbitrary<string> {
	return fc.constantFrom('', ' ', 'NaN', 'Infinity', '-Infinity', '-1', '0', '-0', '0.5', '1e-300', '5e-324', '1e300', '1e999', '99999999999999999999', '0x10', 'x', '\u0661', '1'.repeat(1000));
}

const marker = 'the changed part';

function applyChange(valid: unknown, path: Path, change: Change): string {
	const [key] = path.slice(-1);
	switch (change.kind) {
		case 'replaced': {
			return stringify(withValue(valid, path, marker), change.value);
		}

		case 'missing': {
			return JSON.stringify(withValue(valid, path, undefined)) ?? '';
		}

		case 'repeated': {
			const first = JSON.stringify(getValue(valid, path));
			return typeof key === 'string'
				? stringify(withValue(valid, path, marker), `${first},${JSON.stringify(key)}:${change.value}`)
				: stringify(withValue(valid, path, marker), change.value);
		}
	}
}

function stringify(value: unknown, text: string): string {
	return JSON.stringify(value).replace(JSON.stringify(marker), () => text);
}

function listPaths(value: unknown): Path[] {
	return [[], ...listEntries(value).flatMap(([key, member]) => listPaths(member).map(path => [key, ...path]))];
}

function listEntries(value: unknown): ReadonlyArray<readonly [string | number, unknown]> {
	if (Array.isArray(value)) {
		return value.map((member: unknown, i) => [i, member]);
	}

	return typeof value === 'object' && value !== null ? Object.entries(value) : [];
}

function getValue(value: unknown, [key, ...rest]: Path): unknown {
	return key === undefined ? value : getValue(new Map(listEntries(value)).get(key), rest);
}

function withValue(value: unknown, [key, ...rest]: Path, changed: unknown): unknown {
	if (key === undefined) {
		return changed;
	}

	const entries = listEntries(value).map(([name, member]) => [name, name === key ? withValue(member, rest, changed) : member] as const);
	return Array.isArray(value) ? entries.map(([, member]) => member) : Object.fromEntries(entries);
}
