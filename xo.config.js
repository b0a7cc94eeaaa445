/** Rules that differ from XO's defaults; each has its reason in docs/design.md, "House style". */
const config = [
	{ignores: ['dist', 'dist-platform', 'target', 'typings']},
	{
		prettier: true,
		semicolon: true,
		rules: {
			// The house style asks for namespace imports.
			'unicorn/import-style': 'off',
			// Customary short names of the field are allowed.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/name-replacements': 'off',
			// PostgreSQL and metric names are quoted as their specifications spell them.
			'@typescript-eslint/naming-convention': 'off',
			// `null` is a value of the SQL and JSON interfaces.
			'unicorn/no-null': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
			// Branded ids are made by assertion.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Sequence numbers, loops over buffers and state machines read better with them.
			'no-bitwise': 'off',
			'unicorn/no-array-for-each': 'off',
			'unicorn/no-array-sort': 'off',
			'unicorn/no-array-reverse': 'off',
			// The length of a file or function is a matter of review.
			'max-lines': 'off',
			// Exhaustive switches end in `assertNever`.
			'default-case': 'off',
			// A switch over a union counts once, however many variants it handles.
			complexity: ['error', {max: 20, variant: 'modified'}],
			'@typescript-eslint/switch-exhaustiveness-check': [
				'error',
				{
					allowDefaultCaseForExhaustiveSwitch: true,
					requireDefaultForNonUnion: true,
				},
			],
			// Its fix turns the last case of a switch into a fall-through.
			'no-useless-return': 'off',
			// Virtual time changes values through callbacks.
			'no-unmodified-loop-condition': 'off',
			// Prettier formats empty bodies differently.
			'@stylistic/curly-newline': 'off',
			// Services are injected by constructor.
			'max-params': ['error', 8],
			'no-await-in-loop': 'off',
			'n/no-process-exit': 'off',
			'unicorn/no-process-exit': 'off',
		},
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			// `tap.test` returns a promise that the runner itself awaits.
			'@typescript-eslint/no-floating-promises': 'off',
			'max-params': 'off',
		},
	},
	{
		files: ['scripts/**', 'examples/**'],
		rules: {'no-console': 'off'},
	},
];

export default config;
