import {expect} from 'chai';
import fc from 'fast-check';
import {
	CrashRegister, chainLimit, computeChainLength, hasMoreCrashes,
} from './crash-register.js';
import type {FingerprintCrash} from './fingerprint-record.js';

const buildCrash = (serverId: string, chainLength: number, changes: Partial<FingerprintCrash> = {}): FingerprintCrash => ({
	attemptId: `a-${serverId}`, serverId, bootId: 'b', companions: [], entryId: 'e1', chainLength, ...changes,
});

describe('CrashRegister', () => {
	let register: CrashRegister;

	beforeEach(() => {
		register = new CrashRegister();
	});

	describe('recordCrash', () => {
		it('quarantines a fingerprint after a chain of crashes', () => {
			const effects = [1, 2, 3].map(chainLength => register.recordCrash('x', buildCrash(`s${chainLength}`, chainLength), chainLength));
			expect(effects.map(({record}) => record!.standing)).to.deep.equal(['suspect', 'suspect', 'quarantined']);
			expect(register.getRecord('x', 3)!.standing).to.equal('quarantined');
		});

		// Guards against a loss of power that quarantines content which was running on several of the servers.
		it('does not quarantine a fingerprint whose crashes happened at the same time', () => {
			for (let server = 0; server < 7; server++) {
				register.recordCrash('x', buildCrash(`s${server}`, 1), 0);
			}

			expect(register.getRecord('x', 0)!.standing).to.equal('suspect');
		});

		// Guards against two copies on one server that count as two crashes.
		it('counts one incarnation of a server once', () => {
			register.recordCrash('x', buildCrash('s1', 1), 0);
			expect(register.recordCrash('x', buildCrash('s1', 1, {attemptId: 'other'}), 0).isChanged).to.equal(false);
			expect(register.recordCrash('x', buildCrash('s1', 1, {attemptId: 'other', bootId: 'c'}), 0).record!.crashes).to.have.length(2);
		});

		// Guards against registers that depend on which of two copies on one server was reported first.
		it('keeps the longer chain of two reports of one crash', () => {
			register.recordCrash('x', buildCrash('s1', 1), 0);
			expect(register.recordCrash('x', buildCrash('s1', 2, {attemptId: 'other'}), 0).record!.crashes.map(crash => crash.chainLength)).to.deep.equal([2]);
			expect(register.recordCrash('x', buildCrash('s1', 1), 0).isChanged).to.equal(false);
		});

		// Guards against several reset connections of one server that count as a chain of crashes.
		it('counts no chain that is longer than the number of servers', () => {
			expect(computeChainLength([1, 2, 3].map(length => buildCrash('s1', length)))).to.equal(1);
		});

		// Guards against many crashes at the same time that leave no room for the later ones of the chain.
		it('keeps the crashes with the longest chains', () => {
			for (let server = 0; server < 20; server++) {
				register.recordCrash('x', buildCrash(`s${server}`, 1), 0);
			}

			register.recordCrash('x', buildCrash('t', 2), 0);
			expect(register.getRecord('x', 0)!.standing).to.equal('suspect');
			expect(register.recordCrash('x', buildCrash('u', 3), 0).record!.standing).to.equal('quarantined');
		});
	});

	describe('recordCompletion', () => {
		it('clears a fingerprint and ignores the crashes before', () => {
			register.recordCrash('x', buildCrash('s1', 1, {lostAt: 0}), 0);
			expect(register.recordCompletion('x', 10, {isObserved: true})).to.equal(true);
			expect(register.recordCrash('x', buildCrash('s2', 1, {lostAt: 9}), 20_000).isChanged).to.equal(false);
			const received = {fingerprint: 'x', standing: 'quarantined' as const, crashes: [1, 2, 3].map(length => buildCrash(`s${length}`, length, {lostAt: length}))};
			expect(register.mergeRecord(received, 20_000).isChanged).to.equal(false);
			expect(register.isRefutedHere(received, 20_000)).to.equal(true);
			expect(register.getRecord('x', 20_000)).to.equal(undefined);
		});

		// Guards against content that completed some seconds before and then ends servers, for example after a release.
		it('counts the crashes after a completion', () => {
			register.recordCompletion('x', 0, {isObserved: true});
			const crashes = [1, 2, 3].map(length => buildCrash(`s${length}`, length, {lostAt: length}));
			expect(register.recordCrash('x', crashes[0]!, 10).isChanged).to.equal(true);
			const received = {fingerprint: 'x', standing: 'quarantined' as const, crashes};
			expect(register.isRefutedHere(received, 20)).to.equal(false);
			expect(register.mergeRecord(received, 20).record!.standing).to.equal('quarantined');
		});

		// Guards against a late message of a completion that clears crashes which followed it.
		it('keeps the crashes that followed a completion of which another entry tells late', () => {
			for (const [index, lostAt] of [5, 15, 16].entries()) {
				register.recordCrash('x', buildCrash(`s${index}`, index + 1, {lostAt}), 20);
			}

			expect(register.recordCompletion('x', 30, {isObserved: false, ageMs: 20})).to.equal(true);
			expect(register.getRecord('x', 30)!.crashes.map(({serverId}) => serverId).toSorted()).to.deep.equal(['s1', 's2']);
			expect(register.getRecord('x', 30)!.standing).to.equal('suspect');
			expect(register.recordCompletion('x', 30, {isObserved: false, ageMs: 20})).to.equal(false);
		});

		// Guards against reports of entries of earlier versions, and stored records, that count although the content has completed since.
		it('ignores crashes of an unknown time for some seconds after a completion', () => {
			register.recordCompletion('x', 0, {isObserved: true});
			expect(register.recordCrash('x', buildCrash('s1', 1), 10_000).isChanged).to.equal(false);
			expect(register.recordCrash('x', buildCrash('s1', 1), 10_001).isChanged).to.equal(true);
		});

		// Guards against a stored record, which has no times, that clears content because one of its crashes was not received otherwise.
		it('counts a crash of an unknown time when crashes are known that followed the completion', () => {
			register.recordCompletion('x', 0, {isObserved: true});
			register.recordCrash('x', buildCrash('s1', 1, {lostAt: 6000}), 6020);
			const stored = {fingerprint: 'x', standing: 'suspect' as const, crashes: [buildCrash('s1', 1), buildCrash('s2', 2)]};
			expect(register.isRefutedHere(stored, 9000)).to.equal(false);
			expect(register.mergeRecord(stored, 9000).record!.crashes).to.have.length(2);
		});

		// Guards against a stored record, which has no times, that clears the crashes from which it was written.
		it('counts a crash of an unknown time that it knows itself', () => {
			register.recordCompletion('x', 0, {isObserved: true});
			register.recordCrash('x', buildCrash('s1', 1, {lostAt: 1}), 2);
			expect(register.isRefutedHere({fingerprint: 'x', standing: 'suspect', crashes: [buildCrash('s1', 1)]}, 3)).to.equal(false);
		});
	});

	describe('bounds', () => {
		it('forgets a record a day after its last crash', () => {
			register.recordCrash('x', buildCrash('s1', 1), 0);
			expect(register.getRecord('x', 86_400_000)).to.not.equal(undefined);
			expect(register.getRecord('x', 86_400_001)).to.equal(undefined);
		});

		it('drops suspects before quarantined fingerprints', () => {
			register = new CrashRegister({recordLimit: 2, completedLimit: 1});
			for (const length of [1, 2, 3]) {
				register.recordCrash('bad', buildCrash(`s${length}`, length), 0);
			}

			register.recordCrash('x', buildCrash('s1', 1), 0);
			register.recordCrash('y', buildCrash('s1', 1), 0);
			expect(register.size).to.equal(2);
			expect(register.getRecord('bad', 0)).to.not.equal(undefined);
			expect(register.getRecord('x', 0)).to.equal(undefined);
			register.recordCompletion('p', 0, {isObserved: true});
			register.recordCompletion('q', 0, {isObserved: true});
			expect([register.hasCompletedRecently('p', 1), register.hasCompletedRecently('q', 1)]).to.deep.equal([false, true]);
		});
	});

	// Guards against entries that disagree for good, or that send each other records without end.
	it('lets registers converge on the same standing in any order of messages', () => {
		const crash = fc.record({entry: fc.nat(3), server: fc.nat(9), chainLength: fc.integer({min: 1, max: chainLimit})});
		fc.assert(fc.property(fc.array(crash, {minLength: 1, maxLength: 14}), fc.infiniteStream(fc.nat(1000)), (crashes, order) => {
			const registers = Array.from({length: 4}, () => new CrashRegister());
			for (const {entry, server, chainLength} of crashes) {
				registers[entry]!.recordCrash('x', buildCrash(`s${server}`, chainLength, {entryId: `e${entry}`}), 0);
			}

			let messages = registers.flatMap((from, sender) => registers.flatMap((to, recipient) => sender === recipient ? [] : [{sender, recipient}]));
			let delivered = 0;
			while (messages.length > 0) {
				const index = order.next().value! % messages.length;
				const {sender, recipient} = messages[index]!;
				messages = messages.filter((_, position) => position !== index);
				delivered++;
				const sent = registers[sender]!.getRecord('x', 0);
				if (sent === undefined) {
					continue;
				}

				const {record} = registers[recipient]!.mergeRecord(sent, 0);
				if (hasMoreCrashes(record!, sent)) {
					messages.push({sender: recipient, recipient: sender});
				}
			}

			expect(delivered).to.be.below(200);
			const standings = registers.map(each => each.getRecord('x', 0)!.standing);
			expect(new Set(standings).size).to.equal(1);
			const longest = Math.max(...registers.map(each => computeChainLength(each.getRecord('x', 0)!.crashes)));
			expect(standings[0]).to.equal(longest >= chainLimit ? 'quarantined' : 'suspect');
		}), {seed: 18, numRuns: 2000});
	});
});
