import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {hashContent, hashPart, type RequestContent} from './hash-content.js';

const content: RequestContent = {
	workspace: 'mill', method: 'POST', path: '/look/x?a=1', body: Buffer.from('text'),
};

describe('hashContent', () => {
	it('gives equal contents one fingerprint', () => {
		expect(hashContent({...content, body: Buffer.from('text')})).to.equal(hashContent(content)).and.to.match(/^[\da-f]{32}$/v);
	});

	// Guards against a request that is refused because of the content of another workspace or path.
	it('tells workspaces, methods, paths and bodies apart', () => {
		const others = [{workspace: 'yard'}, {workspace: undefined}, {method: 'PUT'}, {path: '/look/x?a=2'}, {body: Buffer.from('texts')}, {body: undefined}];
		const fingerprints = [content, ...others.map(other => ({...content, ...other}))].map(each => hashContent(each));
		expect(new Set(fingerprints).size).to.equal(fingerprints.length);
	});
});

describe('hashPart', () => {
	it('tells models and parts apart', () => {
		const fingerprints = [hashPart('m', '5c1e07a2'), hashPart('n', '5c1e07a2'), hashPart('m', '91bd3f06'), hashPart(undefined, '5c1e07a2')];
		expect(new Set(fingerprints).size).to.equal(fingerprints.length);
		expect(fingerprints[0]).to.equal(hashPart('m', '5c1e07a2')).and.to.match(/^part-[\da-f]{16}$/v);
	});
});
