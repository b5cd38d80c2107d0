/** XO's rules, with the exceptions that the house style asks for; see docs/DEVELOPERS.md. */
export default [
	{
		ignores: ['dist/**', 'src/generated/**', 'docs/**'],
	},
	{
		rules: {
			// Customary short names (req, res, cfg, err, args) are wanted.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/name-replacements': 'off',
			'unicorn/catch-error-name': ['error', {name: 'err'}],
			// Diagnostic names are part of the interface and read better with underscores.
			'@typescript-eslint/naming-convention': 'off',
			// Link, store and scheduler loops send one message after another on purpose.
			'no-await-in-loop': 'off',
			// Node 20 has no replacement for these yet, and some libraries expose the older names.
			'unicorn/no-process-exit': 'off',
			'n/no-process-exit': 'off',
			// Unions of several lines start below the equals sign, so that each member can have its comment.
			'@stylistic/operator-linebreak': ['error', 'before', {overrides: {'=': 'ignore'}}],
			// An exhaustive switch ends in assertNever, which also guards against values from outside.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {allowDefaultCaseForExhaustiveSwitch: true, considerDefaultExhaustiveForUnions: true}],
			// Callbacks written as one expression may return a value that nobody reads.
			'@typescript-eslint/strict-void-return': 'off',
			// Nested describe blocks add two levels to each test.
			'max-nested-callbacks': ['warn', 6],
			// Tests run from dist/, and test/describe.ts wraps ava for all of them.
			'ava/no-ignored-test-files': 'off',
			// The public function comes first; its helpers follow below.
			'@typescript-eslint/no-use-before-define': 'off',
			'no-use-before-define': 'off',
		},
	},
];
