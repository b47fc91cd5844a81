import process from 'node:process';
import {expect} from 'chai';
import {
	WaitingSimulation, type LoadFigures, type LoadKind, type SimulationOptions,
} from './waiting-simulation-fixture.test.js';

const formatWorkspace = (number: number): string => `w${number}`;
/** Draws one of 24 workspaces; the first has the given share. */
const buildWorkspaces = (firstShare: number) => (random: number): string =>
	random < firstShare ? formatWorkspace(0) : formatWorkspace(1 + Math.floor((random - firstShare) / (1 - firstShare) * 23));

const short: LoadKind = {
	name: 'short', urgency: 0, cost: 5000, parts: 1, durationMs: 1500, targetMs: 260, timeoutMs: 10_000, retries: 'told',
	computeRate: () => 60, selectWorkspace: buildWorkspaces(1 / 24),
};
const middle: LoadKind = {
	...short, name: 'middle', urgency: 1, cost: 45_000, parts: 2, durationMs: 2000, targetMs: 1500, computeRate: () => 7,
};
const long: LoadKind = {
	...short, name: 'long', urgency: 2, cost: 220_000, parts: 4, durationMs: 4000, targetMs: 8000, timeoutMs: 20_000, computeRate: () => 1.8,
};
/** The mix needs 60 * 1.5 + 7 * 2 * 2 + 1.8 * 4 * 4 = 147 slots. */
const mixSlots = 147;
const fleet: SimulationOptions = {
	entries: 20, servers: 24, slots: 8, durationMs: 30_000, kinds: [short, middle, long],
};

const run = (changes: Partial<SimulationOptions>): ReadonlyMap<string, LoadFigures> => {
	const figures = new WaitingSimulation({...fleet, ...changes}).run();
	if (process.env.MEASURE !== undefined) {
		console.table(Object.fromEntries([...figures].filter(([name]) => !name.startsWith('w') || name === 'w0' || name === 'w1')));
	}

	return figures;
};

const get = (figures: ReadonlyMap<string, LoadFigures>, name: string): LoadFigures => figures.get(name)!;
const computeServedShare = ({served, asked}: LoadFigures): number => served / asked;
const computeOnTimeShare = ({onTime, asked}: LoadFigures): number => onTime / asked;

/** Each request has ended: nobody waits for ever. */
const expectEnded = (figures: ReadonlyMap<string, LoadFigures>): void => {
	for (const {asked, served, refused, gone} of figures.values()) {
		expect(served + refused + gone).to.equal(asked);
	}
};

describe('waiting requests under load', () => {
	// Guards against short prompts that are late because long ones take the room that becomes free.
	describe('a burst of 2.5 times the usual mix for ten seconds beside long prompts', () => {
		it('keeps short prompts on time, and serves the long ones', () => {
			const computeBurst = (rate: number) => (now: number): number => now > 5000 && now < 15_000 ? rate * 2.5 : rate;
			const figures = run({kinds: [{...short, computeRate: computeBurst(40)}, {...middle, computeRate: computeBurst(4)}, {...long, computeRate: computeBurst(1)}]});
			expectEnded(figures);
			expect(computeOnTimeShare(get(figures, 'short'))).to.be.above(0.95);
			expect(computeServedShare(get(figures, 'long'))).to.be.above(0.9);
		});
	});

	// Guards against a large workspace that takes the room of the small ones.
	describe('one workspace with 60% of the traffic among 24', () => {
		it('serves the others as if the large one sent no more than its share', () => {
			const selectWorkspace = buildWorkspaces(0.6);
			const figures = run({
				entries: 4, servers: 15, kinds: [{...short, computeRate: () => 110, selectWorkspace}], durationMs: 20_000,
			});
			expectEnded(figures);
			const others = Array.from({length: 23}, (_, index) => get(figures, formatWorkspace(index + 1)));
			const servedShare = others.reduce((sum, {served}) => sum + served, 0) / others.reduce((sum, {asked}) => sum + asked, 0);
			expect(servedShare).to.be.above(0.97);
			expect(computeServedShare(get(figures, formatWorkspace(0)))).to.be.below(servedShare);
		});
	});

	// Guards against less urgent prompts that are served relatively better than more urgent ones, and against long prompts that starve.
	describe('three urgencies at 120% of the room', () => {
		it('serves the more urgent relatively better, and all of them to a part', () => {
			const figures = run({servers: Math.round(mixSlots / 1.2 / 8), durationMs: 60_000});
			expectEnded(figures);
			const [first, second, third] = ['short', 'middle', 'long'].map(name => computeServedShare(get(figures, name)));
			expect(first).to.be.above(0.97);
			expect(first).to.be.at.least(second!);
			expect(second).to.be.at.least(third!);
			expect(third).to.be.above(0.1);
			expect(computeOnTimeShare(get(figures, 'short'))).to.be.above(0.9);
		});
	});

	// Guards against one caller whose sudden requests fill the queue before all others.
	describe('a hot key', () => {
		it('keeps the other workspaces on time while one sends ten times the usual for two seconds', () => {
			const hot: LoadKind = {
				...short, name: 'hot', computeRate: now => now > 4000 && now < 6000 ? 400 : 0, selectWorkspace: () => 'hot',
			};
			const figures = run({kinds: [{...short, computeRate: () => 40}, hot], entries: 4, durationMs: 12_000});
			expectEnded(figures);
			expect(computeServedShare(get(figures, 'short'))).to.equal(1);
			expect(computeOnTimeShare(get(figures, 'short'))).to.be.above(0.75);
			expect(computeOnTimeShare(get(figures, 'hot'))).to.be.below(0.4);
		});
	});

	// Guards against a rule that suits only fleets of many servers.
	describe('a service of three backend servers with six slots', () => {
		it('orders by urgency and starves none', () => {
			const kinds: LoadKind[] = [0, 1, 2].map(urgency => ({
				...short, name: `u${urgency}`, urgency, durationMs: 500, computeRate: () => 13,
			}));
			const figures = run({
				entries: 3, servers: 3, slots: 6, kinds, durationMs: 40_000,
			});
			expectEnded(figures);
			const [first, second, third] = kinds.map(({name}) => computeServedShare(get(figures, name)));
			expect(first).to.be.above(0.97);
			expect(first).to.be.at.least(second!);
			expect(second).to.be.at.least(third!);
			expect(third).to.be.above(0.1);
		});
	});

	// Guards against places in the queue that are kept for callers who have left.
	describe('callers that leave early', () => {
		it('serves those who stay', () => {
			const leaving: LoadKind = {
				...short, name: 'leaving', leaveMs: 200, computeRate: () => 60,
			};
			const figures = run({kinds: [{...short, computeRate: () => 40}, leaving], servers: 12, durationMs: 20_000});
			expectEnded(figures);
			expect(computeServedShare(get(figures, 'short'))).to.be.above(0.9);
			expect(get(figures, 'leaving').longestWaitMs).to.be.at.most(201);
		});
	});

	// Guards against callers who ignore the retry delay and take the room of those who wait or return as told.
	describe('callers that retry at once', () => {
		it('gives them no more than those that return as told', () => {
			const kinds = [{...short, computeRate: () => 50}, {
				...short, name: 'hasty', retries: 'at once' as const, computeRate: () => 50, selectWorkspace: (random: number) => `h${Math.floor(random * 24)}`,
			}];
			const figures = run({
				kinds, entries: 4, servers: 14, durationMs: 30_000,
			});
			expectEnded(figures);
			expect(computeServedShare(get(figures, 'hasty'))).to.be.below(computeServedShare(get(figures, 'short')) + 0.05);
		});
	});

	// Guards against refusals by a rate that is no longer true, in either direction.
	describe('room that halves within a second and comes back', () => {
		it('serves nearly all short prompts, and the others again once the room is back', () => {
			const countOpenServers = (now: number): number => now > 10_000 && now < 15_000 ? 12 : 24;
			const figures = run({countOpenServers, durationMs: 30_000});
			expectEnded(figures);
			expect(computeServedShare(get(figures, 'short'))).to.be.above(0.97);
			expect(computeServedShare(get(figures, 'long'))).to.be.above(0.8);
		});
	});
});
