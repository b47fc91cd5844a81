/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/dist/**', 'docs/**']},
	{
		rules: {
			// Common abbreviations (id, args, req, res, ttl) are clear to readers.
			'unicorn/prevent-abbreviations': 'off',
			// The completions protocol and other JSON answers contain null.
			'unicorn/no-null': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
			// Retries, polls and ordered sends must be sequential.
			'no-await-in-loop': 'off',
		},
	},
	{
		files: ['**/*.test.ts'],
		// The TypeScript projects of the packages exclude tests; the root project includes them.
		languageOptions: {parserOptions: {projectService: false, project: './tsconfig.json'}},
		rules: {
			'@typescript-eslint/no-unused-expressions': 'off',
		},
	},
];

export default config;
