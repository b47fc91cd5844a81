import {expect} from 'chai';
import {
	directEntryLimit, listSummaryDomains, selectTopology, type PlacedEntry,
} from './report-topology.js';

const buildEntries = (perDomain: number, domains: readonly string[]): PlacedEntry[] =>
	domains.flatMap(failureDomain => Array.from({length: perDomain}, (_, index) => ({id: `${failureDomain}-${index + 10}`, failureDomain})));

const isRunning = (): boolean => true;

describe('report topology', () => {
	it('sends reports directly between all entries of a small fleet', () => {
		const [self, ...others] = buildEntries(4, ['east', 'north', 'west']);
		expect(others.length).to.be.below(directEntryLimit);
		expect(selectTopology(self!, others, isRunning)).to.deep.equal({memberIds: others.map(({id}) => id), collectorIds: [], isCollector: false});
	});

	// Guards against another placement of requests in fleets whose reports are direct, and against servers kept for a domain that is gone.
	it('lists the failure domains only of a large fleet with several of them', () => {
		const list = ([self, ...others]: PlacedEntry[], isUp: (id: string) => boolean = isRunning): string[] => listSummaryDomains(self!, others, isUp);
		expect(list(buildEntries(4, ['east', 'north', 'west']))).to.deep.equal([]);
		expect(list(buildEntries(15, ['east']))).to.deep.equal([]);
		expect(list(buildEntries(5, ['west', 'north', 'east']))).to.deep.equal(['east', 'north', 'west']);
		expect(list(buildEntries(5, ['west', 'north', 'east']), id => !id.startsWith('north'))).to.deep.equal(['east', 'west']);
	});

	describe('large fleet', () => {
		const entries = buildEntries(29, ['east', 'north', 'west']);
		const select = (id: string, isUp: (id: string) => boolean = isRunning) =>
			selectTopology(entries.find(entry => entry.id === id)!, entries.filter(entry => entry.id !== id), isUp);

		// Guards against datagrams between failure domains whose number grows with the square of the fleet size, here 87 entries.
		it('has one collector per failure domain, which alone sends to the other domains', () => {
			const collectors = entries.filter(({id}) => select(id).isCollector).map(({id}) => id);
			expect(collectors).to.deep.equal(['east-10', 'north-10', 'west-10']);
			expect(select('north-10')).to.deep.include({collectorIds: ['east-10', 'west-10']});
			expect(select('north-12').memberIds.length).to.equal(28);
			expect(select('north-12').memberIds.every(id => id.startsWith('north'))).to.equal(true);
		});

		// Guards against a failure domain that receives no more reports after its collector has crashed.
		it('replaces a collector that does not run', () => {
			const isUp = (id: string): boolean => id !== 'north-10';
			expect(select('north-11', isUp).isCollector).to.equal(true);
			expect(select('north-12', isUp).isCollector).to.equal(false);
			expect(select('east-10', isUp).collectorIds).to.deep.equal(['north-11', 'west-10']);
		});

		// Guards against summaries that are sent to a failure domain without running entries.
		it('sends nothing to a failure domain without running entries', () => {
			expect(select('east-10', id => !id.startsWith('west')).collectorIds).to.deep.equal(['north-10']);
		});
	});
});
