import type {DeploymentInput} from '@knapweedrack/testkit';

/** Requests of the demo with one model, workspace and prompt length. */
export type DemoClass = {
	name: string;
	model: string;
	workspaceId: string;
	promptTokens: number;
	maxTokens: number;
	count: number;
};

/** Modelled time of the engines runs this many times as fast as real time. */
export const demoTimeScale = 10;

/** A cold engine takes few requests of any length; with the default limits of the stand-in, a long prompt would wait behind short ones for minutes. */
export const demoEngine = {timeScale: demoTimeScale, coldConcurrency: 4, coldPrefillTokens: 400_000};

/** Creates a small version of the example deployment `prairie`, with the lists from its folder. */
export const createDemoDeployment = (lists: DeploymentInput['lists']): DeploymentInput => ({
	failureDomains: {regina: 'prairie', saskatoon: 'prairie', 'moose-jaw': 'prairie'},
	engines: {
		'truing-model': {regina: 3, saskatoon: 3, 'moose-jaw': 3},
		'shop-desk': {regina: 1, saskatoon: 1, 'moose-jaw': 1},
	},
	services: {'work-orders': {regina: 1, saskatoon: 1}, bookings: {'moose-jaw': 1}},
	entries: {regina: 2, saskatoon: 2, 'moose-jaw': 2},
	lists,
});

/** Mixture of prompts; about one in fifty has more than a hundred thousand tokens. */
export const demoClasses: readonly DemoClass[] = [
	{
		name: '1k', model: 'truing-model', workspaceId: 'great-plains-shortline', promptTokens: 1000, maxTokens: 32, count: 40,
	},
	{
		name: '1k (shop-desk)', model: 'shop-desk', workspaceId: 'shop-floor', promptTokens: 1000, maxTokens: 32, count: 20,
	},
	{
		name: '4k', model: 'truing-model', workspaceId: 'great-plains-shortline', promptTokens: 4000, maxTokens: 32, count: 30,
	},
	{
		name: '32k', model: 'truing-model', workspaceId: 'carlton-trail-railway', promptTokens: 32_000, maxTokens: 32, count: 12,
	},
	{
		name: '150k', model: 'truing-model', workspaceId: 'great-plains-shortline', promptTokens: 150_000, maxTokens: 32, count: 1,
	},
	{
		name: '1M', model: 'truing-model', workspaceId: 'qu-appelle-valley-rail', promptTokens: 1_000_000, maxTokens: 32, count: 1,
	},
];

/** Builds the credential of a workspace of the example lists. */
export const buildDemoCredential = (workspaceId: string): string => `example-${workspaceId}`;

const bytesPerToken = 4;

/** Builds a prompt of a given length; the seed makes it different from the others. */
export const buildDemoPrompt = (seed: string, tokens: number): string => {
	const line = `Wheelset ${seed}: flange height 28.4 mm, tread hollow 1.2 mm. `;
	return line.repeat(Math.ceil((tokens * bytesPerToken) / line.length)).slice(0, tokens * bytesPerToken);
};
