import {expect} from 'chai';
import type {PeerHandlers, PermitRelease} from '@knapweedrack/protocol';
import {createMetrics} from '../metrics/metrics.js';
import {createTimerService, type ProcessTimer} from '../timer/timer-service.js';
import {PeerClients} from './peer-clients.js';
import {PeerSecrets} from './peer-secrets.js';
import {startPeerServer, type PeerServer} from './peer-server.js';

const secrets = {current: 'secret-number-one', accepted: []};
const fetchTimeoutMs = 5000;

const buildRelease = (permitId: string): PermitRelease => ({permitId, serverId: 's1', result: 'completed'});

describe('peers', () => {
	let timer: ProcessTimer;
	let server: PeerServer;
	let clients: PeerClients;
	let serverSecrets: PeerSecrets;
	let clientSecrets: PeerSecrets;
	let batches: PermitRelease[][];
	let notifyBatch: () => void;

	const startServer = async (listener: string) => {
		const handlers: Partial<PeerHandlers> = {
			isAuthorized: secret => serverSecrets.isAccepted(secret),
			fetchAvailability: () => 'availability',
			releasePermits(releases) {
				batches.push(releases);
				notifyBatch();
			},
		};
		const result = await startPeerServer(listener, handlers as PeerHandlers, {timer, metrics: createMetrics(undefined, 'e1')});
		if (!result.ok) {
			throw new Error(result.error.message);
		}

		server = result.value;
	};

	const waitForReleases = async (count: number) => new Promise<void>(resolve => {
		notifyBatch = () => {
			if (batches.flat().length >= count) {
				resolve();
			}
		};
	});

	const fetchAvailability = async () => clients.get(server.address).run(fetchTimeoutMs, async (caller, signal) => caller.availability.fetch.query(undefined, {signal}));

	beforeEach(async () => {
		batches = [];
		notifyBatch = () => undefined;
		timer = createTimerService();
		serverSecrets = new PeerSecrets(secrets);
		clientSecrets = new PeerSecrets(secrets);
		clients = new PeerClients({secrets: clientSecrets, timer, metrics: createMetrics(undefined, 'e2')});
		await startServer('127.0.0.1:0');
	});

	afterEach(async () => {
		await clients.close();
		await server.close();
		timer.stop();
	});

	it('answers a peer with an accepted secret', async () => {
		expect(await fetchAvailability()).to.deep.equal({ok: true, value: 'availability'});
		expect(server.measureTraffic().bytesReceived).to.be.greaterThan(0);
	});

	// Any process on the network could otherwise acquire permits and read the configuration.
	it('refuses a peer with another secret', async () => {
		clientSecrets.update({current: 'secret-number-two', accepted: []});
		expect(await fetchAvailability()).to.have.property('ok', false);
	});

	// Rotation without a restart: the old secret must stop working on connections that are already open.
	it('refuses a removed secret on an open connection and accepts the new one', async () => {
		await fetchAvailability();
		serverSecrets.update({current: 'secret-number-two', accepted: []});
		expect(await fetchAvailability()).to.have.nested.property('error.kind', 'unauthorized');
		clientSecrets.update({current: 'secret-number-two', accepted: ['secret-number-one']});
		let result = await fetchAvailability();
		for (let attempt = 0; attempt < 10 && !result.ok; attempt++) {
			result = await fetchAvailability();
		}

		expect(result.ok).to.equal(true);
	});

	// One message per release would multiply the traffic between entries.
	it('sends releases of the same moment in one batch', async () => {
		await fetchAvailability();
		const released = waitForReleases(3);
		for (const permitId of ['p1', 'p2', 'p3']) {
			clients.get(server.address).release(buildRelease(permitId));
		}

		await released;
		expect(batches).to.deep.equal([[buildRelease('p1'), buildRelease('p2'), buildRelease('p3')]]);
	});

	// A release lost in a restart of the peer would hold capacity until the permit expires.
	it('reconnects and repeats releases that were not confirmed', async () => {
		await fetchAvailability();
		const {address} = server;
		await server.close();
		clients.get(address).release(buildRelease('p1'));
		const released = waitForReleases(1);
		await startServer(address);
		await released;
		expect(batches.flat()).to.deep.equal([buildRelease('p1')]);
	});
});
