import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {parseAddress} from './addresses.js';
import {parseSettings} from './process-settings.js';

const readExample = (path: string) => ({
	file: path,
	text: readFileSync(new URL(`../../../../examples/${path}`, import.meta.url), 'utf8'),
});

describe('parseSettings', () => {
	for (const path of ['prairie/regina-1.yaml', 'kerala-coast/alappuzha-1.yaml']) {
		it(`accepts ${path}`, () => {
			const result = parseSettings(readExample(path));
			expect(result.ok ? [] : result.error).to.deep.equal([]);
		});
	}

	// Guards against a process that starts with an invalid setting and fails only later, in operation.
	it('reports all problems at once with line and path', () => {
		const text = readExample('prairie/regina-1.yaml').text
			.replace('callerListener: 127.0.0.1:8400', 'callerListener: localhost:8400')
			.replace('gracePeriodMs: 60000', 'gracePeriodMs: 60s')
			.replace('platform: 127.0.0.1:8600', 'platform: 127.0.0.1:0')
			.replace('127.0.0.1:8502', '127.0.0.1:8501')
			.replace('region: prairie', 'regoin: prairie');
		const result = parseSettings({file: 'regina-1.yaml', text});
		const problems = result.ok ? [] : result.error;
		expect(problems.map(problem => problem.path)).to.have.members(['callerListener', 'gracePeriodMs', 'platform', 'seedPeers[1]', 'regoin', 'region']);
		expect(problems.find(problem => problem.path === 'gracePeriodMs')).to.include({file: 'regina-1.yaml', line: text.split('\n').findIndex(line => line.includes('60s')) + 1});
	});
});

describe('parseAddress', () => {
	it('accepts IP addresses only', () => {
		expect(parseAddress('10.0.0.1:80')).to.deep.equal({host: '10.0.0.1', port: 80});
		expect(parseAddress('[::1]:80')).to.deep.equal({host: '::1', port: 80});
		for (const text of ['host:80', '10.0.0.1', '10.0.0.1:99999', '300.0.0.1:80', '::1:80']) {
			expect(parseAddress(text), text).to.equal(undefined);
		}
	});
});
