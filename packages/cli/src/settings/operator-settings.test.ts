import {expect} from 'chai';
import {listSettings, resolveSettings} from './operator-settings.js';

describe('resolveSettings', () => {
	const text = 'platform: 10.0.0.1:8600\npeerSecret: a-long-peer-secret\nauthor: ana\n';

	// Without the source, an operator cannot tell why a command calls a different platform than expected.
	it('prefers flags and names the source of each value without showing the secret', () => {
		const settings = resolveSettings({platform: '10.0.0.2:8600'}, {file: 'operator.yaml', text});
		const list = settings.ok ? listSettings(settings.value) : [];
		expect(list.slice(0, 4)).to.deep.equal([
			{name: 'platform', value: '10.0.0.2:8600', source: 'flag --platform'},
			{name: 'entries', value: [], source: 'default'},
			{name: 'peerSecret', value: '(set)', source: 'operator.yaml:2'},
			{name: 'author', value: 'ana', source: 'operator.yaml:3'},
		]);
	});

	it('returns the problems of flags and file together', () => {
		const settings = resolveSettings({platform: 'host'}, {file: 'operator.yaml', text: 'entries: [x]\nplatfrom: 1\npeerSecret: short\n'});
		expect(settings).to.have.property('error').with.length(4);
	});
});
