/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/dist/**', 'docs/**']},
	{
		rules: {
			// Customary short names (id, args, req, res, ttl) are what readers expect.
			'unicorn/prevent-abbreviations': 'off',
			// The completions protocol and JSON replies use null.
			'unicorn/no-null': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
			// Retries, polling and ordered sends are sequential on purpose.
			'no-await-in-loop': 'off',
		},
	},
	{
		files: ['**/*.test.ts'],
		// The builds of the packages exclude tests; the root project includes them.
		languageOptions: {parserOptions: {projectService: false, project: './tsconfig.json'}},
		rules: {
			'@typescript-eslint/no-unused-expressions': 'off',
		},
	},
];

export default config;
