import {expect} from 'chai';
import type {BackendServerDescription} from '../types/backend-server.js';
import type {OwnerRecord, SessionRecord} from '../types/session.js';
import type {OwnershipCommand, OwnershipEvent} from './ownership-messages.js';
import {OwnershipTable, permitLifetimeMs} from './ownership-table.js';
import {ownershipTransitions, type OwnershipPhase} from './ownership-transitions.js';

const hash = (text: string): number => [...text].reduce((sum, character) => Math.imul(sum, 31) + character.codePointAt(0)!, 7);

const session = (entryId: string, renewal: number, changes: Partial<SessionRecord> = {}): SessionRecord => ({
	entryId, epoch: '1', callerAddress: '', peerAddress: '', failureDomain: 'north', region: 'r',
	state: 'serving', configurationRevision: 0, availabilityRevision: 0, renewal, ...changes,
});

const server: BackendServerDescription = {
	id: 's', address: '', kind: 'engine', failureDomain: 'north', serves: 'm', state: 'live',
};

describe('OwnershipTable', () => {
	let table: OwnershipTable;
	let now: number;
	let peers: SessionRecord[];

	const handle = (event: OwnershipEvent): OwnershipCommand[] => table.handle(event, now);

	/** Renews the lease of this entry and reads the sessions once a second. */
	const run = (untilMs: number): OwnershipCommand[] => {
		const commands: OwnershipCommand[] = [];
		for (; now < untilMs; now += 1000) {
			commands.push(...handle({type: 'lease', validUntil: now + 6000}), ...handle({type: 'sessions', sessions: peers, sentAt: now}), ...handle({type: 'tick'}));
		}

		return commands;
	};

	const findWrite = (commands: OwnershipCommand[]): OwnerRecord | undefined => {
		const write = commands.find(command => command.type === 'writeOwner');
		return write && 'record' in write ? write.record : undefined;
	};

	beforeEach(() => {
		now = 0;
		peers = [session('b', 1, {failureDomain: 'south'})];
		table = new OwnershipTable({self: session('a', 0), hash});
		handle({type: 'instances', servers: [server], entryIds: ['a', 'b']});
	});

	const acquireServer = (): void => {
		run(4000);
		const commands = handle({
			type: 'owner', serverId: 's', record: undefined, version: 0,
		});
		expect(findWrite(commands)).to.include({owner: 'a', fencingNumber: 1});
		handle({type: 'writeResult', serverId: 's', result: {type: 'ok', version: 5}});
		expect(table.getMode('s', now)).to.equal('rebuilding');
		run(now + permitLifetimeMs + 1000);
		expect(table.getMode('s', now)).to.equal('full');
	};

	// Guards against a takeover from a live owner whose renewals did not reach this entry.
	it('takes over only after a read confirmed that the session expired', () => {
		run(4000);
		handle({
			type: 'owner', serverId: 's', record: {
				serverId: 's', owner: 'b', epoch: '1', fencingNumber: 4, released: false,
			}, version: 9,
		});
		const early = run(7000);
		expect(findWrite(early)).to.equal(undefined);
		expect(findWrite(run(9000))).to.include({owner: 'a', fencingNumber: 5});
		handle({type: 'writeResult', serverId: 's', result: {type: 'ok', version: 12}});
		run(now + 1000);
		handle({
			type: 'formerOwner', serverId: 's', entryId: 'b', isIssuing: false,
		});
		// The permits that the former owner issued before it stopped are valid for one more lifetime.
		run(now + permitLifetimeMs);
		expect(table.getMode('s', now)).to.equal('half');
		run(now + 1000);
		expect(table.getMode('s', now)).to.equal('full');
	});

	// Guards against engines whose permits stay restricted for 40 s after their owner restarts.
	it('takes over from its former process at once and issues up to the bounds when the permits of that process have expired', () => {
		const findTakeover = (ownerAddress: string) => findWrite(handle({
			type: 'owner', serverId: 's', record: {
				serverId: 's', owner: 'a', ownerAddress, epoch: '0', fencingNumber: 4, released: false,
			}, version: ownerAddress === 'own' ? 10 : 9,
		}));
		table = new OwnershipTable({self: session('a', 0, {peerAddress: 'own'}), hash});
		handle({type: 'instances', servers: [server], entryIds: ['a', 'b']});
		run(4000);
		expect(findTakeover('other'), 'the former process listened elsewhere and may still run').to.equal(undefined);
		expect(findTakeover('own')).to.include({owner: 'a', fencingNumber: 5});
		handle({type: 'writeResult', serverId: 's', result: {type: 'ok', version: 12}});
		run(now + permitLifetimeMs);
		expect(table.getMode('s', now)).to.equal('rebuilding');
		run(now + 1000);
		expect(table.getMode('s', now)).to.equal('full');
	});

	// Guards against a first owner that restricts its permits for 20 s because the watch delivered its own record before
	// the answer to the write.
	it('recognizes its own record when the watch delivers it before the answer to the write', () => {
		run(4000);
		const record = findWrite(handle({
			type: 'owner', serverId: 's', record: undefined, version: 0,
		}));
		handle({
			type: 'owner', serverId: 's', record, version: 5,
		});
		handle({type: 'writeResult', serverId: 's', result: {type: 'ok', version: 5}});
		handle({type: 'rebuilt', serverId: 's'});
		expect(table.getMode('s', now)).to.equal('full');
	});

	// Guards against a first entry of a starting fleet that takes every server and hands most of them over at once.
	it('waits for entries that started shortly after it, but only for a limited time', () => {
		const addPeer = (entryId: string) => {
			peers = [...peers, session(entryId, 1, {failureDomain: 'south'})];
		};

		handle({
			type: 'owner', serverId: 's', record: undefined, version: 0,
		});
		const taken = [];
		for (const entryId of ['c', 'd', 'e', 'f', 'g', 'h']) {
			taken.push(findWrite(run(now + 1000)) !== undefined);
			addPeer(entryId);
		}

		expect(taken).to.deep.equal([false, false, false, false, false, false]);
		expect(findWrite(run(now + 1000))).to.include({owner: 'a'});
	});

	// Guards against an owner that keeps issuing after its lease lapsed, and against an owner that stops without need in an
	// outage of the object API.
	it('limits a lapsed owner by what its peers report about the object API', () => {
		acquireServer();
		const handleHeartbeat = (reachesStore: boolean) => handle({type: 'heartbeat', heartbeat: {...session('b', 0), reachesStore}, sentAt: now});
		now += 7000;
		handleHeartbeat(false);
		expect(table.getMode('s', now)).to.equal('full');
		now += 3500;
		expect(table.getMode('s', now)).to.equal('half');
		now += permitLifetimeMs;
		expect(table.getMode('s', now)).to.equal('stopped');
		handleHeartbeat(false);
		expect(table.getMode('s', now), 'an owner that stopped stays stopped').to.equal('stopped');
		expect(table.describe('s', now).isIssuing).to.equal(false);
		const commands = handle({type: 'lease', validUntil: now + 6000});
		expect(findWrite(commands)).to.include({owner: 'a', fencingNumber: 2});
		expect(table.getMode('s', now)).to.equal('stopped');
		handle({type: 'writeResult', serverId: 's', result: {type: 'ok', version: 20}});
		expect(table.getMode('s', now)).to.equal('full');
	});

	// Guards against an owner that issues while another entry can take over.
	it('stops a lapsed owner when a peer reaches the object API', () => {
		acquireServer();
		const handleHeartbeat = () => handle({type: 'heartbeat', heartbeat: {...session('b', 0), reachesStore: true}, sentAt: now});
		now += 6000;
		handleHeartbeat();
		expect(table.getMode('s', now)).to.equal('half');
		now += 4000;
		handleHeartbeat();
		expect(table.getMode('s', now)).to.equal('stopped');
	});

	// Guards against permits issued after a release was sent, and against a release that is not repeated when its answer is
	// lost.
	it('releases on a planned stop and repeats a release whose answer was lost', () => {
		acquireServer();
		const [release, mode] = handle({type: 'stopping'});
		expect(release).to.deep.include({type: 'release', version: 5});
		expect(mode).to.deep.equal({type: 'setMode', serverId: 's', mode: 'stopped'});
		expect(handle({type: 'writeResult', serverId: 's', result: {type: 'unknown'}})).to.deep.equal([{type: 'readOwner', serverId: 's'}]);
		now += 1000;
		const record = {
			serverId: 's', owner: 'a', epoch: '1', fencingNumber: 1, released: false,
		};
		const repeated = handle({
			type: 'owner', serverId: 's', record, version: 5,
		});
		expect(repeated[0]).to.deep.include({type: 'release', version: 5});
		handle({type: 'writeResult', serverId: 's', result: {type: 'ok', version: 6}});
		expect(table.listOwned()).to.deep.equal([]);
	});
});

describe('ownershipTransitions', () => {
	// Guards against a transition that resumes issuing without a new acquisition, and against a phase without an exit.
	it('leads from every phase to notOwned and issues only after an acquisition', () => {
		for (const [phase, events] of Object.entries(ownershipTransitions) as Array<[OwnershipPhase, Record<string, OwnershipPhase>]>) {
			expect(phase === 'notOwned' ? events.acquire : events.lose, phase).to.equal(phase === 'notOwned' ? 'rebuilding' : 'notOwned');
		}

		expect(Object.keys(ownershipTransitions.notOwned)).to.deep.equal(['acquire']);
		expect(Object.keys(ownershipTransitions.releasing)).to.deep.equal(['lose']);
		expect(Object.keys(ownershipTransitions.disputed)).not.to.include('release');
	});
});
