import {expect} from 'chai';
import fc from 'fast-check';
import {FingerprintTable} from './fingerprint-table.js';

describe('FingerprintTable', () => {
	// Guards against a fingerprint that crashes more than two servers through concurrent copies or a change of its owner.
	it('allows one fingerprint to crash at most two servers', () => {
		const action = fc.record({kind: fc.constantFrom('start', 'start', 'crash', 'takeover'), server: fc.nat(5)});
		fc.assert(fc.property(fc.array(action, {minLength: 40, maxLength: 200}), actions => {
			let table = new FingerprintTable();
			let attempts = 0;
			const running = new Map<string, string[]>();
			let crashedServers = 0;
			for (const {kind, server} of actions) {
				const serverId = `s${server}`;
				if (kind === 'start') {
					const attemptId = `a${attempts++}`;
					const decision = table.startRun('bad', {attemptId, serverId}, 0);
					if (decision.type === 'run' || decision.type === 'run_alone') {
						running.set(serverId, [...running.get(serverId) ?? [], attemptId]);
					}
				} else if (kind === 'crash' && running.has(serverId)) {
					crashedServers += 1;
					for (const attemptId of running.get(serverId)!) {
						table.recordCrash('bad', {
							attemptId, serverId, bootId: `${crashedServers}`, companions: [],
						});
					}

					running.delete(serverId);
				} else if (kind === 'takeover' && table.getRecord('bad') !== undefined && running.size <= 1) {
					const record = table.getRecord('bad')!;
					table = new FingerprintTable();
					table.load([record], 0);
				}
			}

			expect(crashedServers).to.be.at.most(2);
		}), {seed: 16, numRuns: 3000});
	});

	// Guards against a new owner that starts a suspect although a copy that began before the first crash is still running.
	it('waits for a copy that began before the first crash when the owner changes', () => {
		const table = new FingerprintTable();
		for (const copy of [1, 2]) {
			expect(table.startRun('bad', {attemptId: `a${copy}`, serverId: `s${copy}`}, 0)).to.deep.equal({type: 'run'});
		}

		const {record} = table.recordCrash('bad', {
			attemptId: 'a1', serverId: 's1', bootId: 'b', companions: [],
		});
		const nextOwner = new FingerprintTable();
		nextOwner.load([record!], 0);
		expect(nextOwner.startRun('bad', {attemptId: 'a3', serverId: 's3'}, 0).type).to.equal('wait');
		nextOwner.recordRunEnd('bad', 'a2');
		expect(nextOwner.startRun('bad', {attemptId: 'a3', serverId: 's3'}, 0).type).to.equal('run_alone');
	});

	// Guards against requests that stay suspect only because they ran beside the one that crashed the server.
	it('clears fingerprints that ran beside the culprit', () => {
		const table = new FingerprintTable();
		table.recordCrash('bad', {
			attemptId: 'a1', serverId: 's1', bootId: 'b', companions: ['good', 'other'],
		});
		table.recordCrash('good', {
			attemptId: 'a2', serverId: 's1', bootId: 'b', companions: ['bad', 'other'],
		});
		table.recordCrash('other', {
			attemptId: 'a3', serverId: 's1', bootId: 'b', companions: ['bad', 'good'],
		});
		expect(table.startRun('good', {attemptId: 'a4', serverId: 's2'}, 0).type).to.equal('run_alone');
		expect(table.startRun('good', {attemptId: 'a5', serverId: 's3'}, 0).type).to.equal('wait');
		table.recordCompletion('good', 'a4');
		expect(table.startRun('good', {attemptId: 'a6', serverId: 's2'}, 0).type).to.equal('run');

		expect(table.startRun('bad', {attemptId: 'a7', serverId: 's2'}, 0).type).to.equal('run_alone');
		const {crashAttributions} = table.recordCrash('bad', {
			attemptId: 'a7', serverId: 's2', bootId: 'b', companions: [],
		});
		expect(table.startRun('bad', {attemptId: 'a8', serverId: 's3'}, 0).type).to.equal('quarantined');
		for (const {fingerprint, serverId, culprit} of crashAttributions) {
			table.recordCrashAttribution(fingerprint, {serverId, culprit});
		}

		expect(table.getRecord('other')).to.equal(undefined);
		expect(table.getRecord('bad')!.standing).to.equal('quarantined');
	});

	// Guards against a crash that is counted twice because two attempts with the same fingerprint ran on the server.
	it('counts a crashed server once', () => {
		const table = new FingerprintTable();
		table.recordCrash('x', {
			attemptId: 'a1', serverId: 's1', bootId: 'b', companions: [],
		});
		table.recordCrash('x', {
			attemptId: 'a2', serverId: 's1', bootId: 'b', companions: [],
		});
		expect(table.getRecord('x')!.standing).to.equal('suspect');
	});
});
