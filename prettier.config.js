/** Matches the formatting that XO expects with `prettier: true`. */
const config = {
	useTabs: true,
	singleQuote: true,
	bracketSpacing: false,
	trailingComma: 'all',
	semi: true,
	bracketSameLine: false,
};

export default config;
