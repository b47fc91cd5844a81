#!/usr/bin/env node
/** Compares transports between entries by bytes, CPU time and throughput of permit requests with their releases. */
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {createTRPCClient, httpBatchLink, httpLink} from '@trpc/client';
import type {PermitReply} from '@knapweedrack/core';
import {createPeerRouter, type PeerHandlers, type PeerRouter} from '@knapweedrack/protocol';
import {createMetrics} from '../metrics/metrics.js';
import {PeerClients} from '../peers/peer-clients.js';
import {PeerSecrets} from '../peers/peer-secrets.js';
import {startPeerServer} from '../peers/peer-server.js';
import {createTrafficMeter} from '../peers/traffic-meter.js';
import {createTimerService} from '../timer/timer-service.js';

const rounds = 200;
const concurrency = 20;
const secret = 'secret-for-measurement';
const load = {
	serverId: 'engine-1', queuedPrefillTokens: 1000, runningPrefillTokens: 2000, kvTokensUsed: 100_000, kvTokens: 400_000, running: 10,
	concurrencyLimit: 64, shortFirstTokenMs: 12.5, longFirstTokenMs: 3200,
};
const reply: PermitReply = {
	type: 'granted', load,
	permit: {
		permitId: '4.1234.3f1c9a4e-request-1-1', requestId: '3f1c9a4e-request-1', attemptId: '3f1c9a4e-request-1-1', serverId: 'engine-1', bootId: 'boot-1',
		lifetimeMs: 10_000, fencingNumber: 4, enginePriority: 3,
	},
};
const request = {
	requestId: '3f1c9a4e-request-1', attemptId: '3f1c9a4e-request-1-1', entryId: 'regina-1', serverId: 'engine-1', workspaceId: 'workspace-1', weight: 1,
	priority: 1 as const, prefillTokens: 100, decodeTokens: 10, kvTokens: 110, deadlineInMs: 5000, firstTokenInMs: 2000, isSuspect: false,
};
const release = {
	permitId: reply.permit.permitId, serverId: 'engine-1', result: 'completed' as const, firstTokenMs: 12.5,
};
const handlers: Partial<PeerHandlers> = {isAuthorized: () => true, requestPermit: async () => reply, releasePermits: () => undefined};
const timer = createTimerService();
const metrics = createMetrics(undefined, 'measure');

const measure = async (name: string, measureBytes: () => number, run: () => Promise<void>) => {
	await run();
	const [bytes, cpu, startedAt] = [measureBytes(), process.cpuUsage(), performance.now()];
	for (let round = 0; round < rounds; round++) {
		await Promise.all(Array.from({length: concurrency}, run));
	}

	const permits = rounds * concurrency;
	const elapsedMs = performance.now() - startedAt;
	await new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	const {user, system} = process.cpuUsage(cpu);
	console.log(JSON.stringify({
		name, bytesPerPermit: Math.round((measureBytes() - bytes) / permits), cpuMicrosecondsPerPermitBothSides: Math.round((user + system) / permits),
		permitsPerSecond: Math.round(permits / (elapsedMs / 1000)),
	}));
};

const traffic = createTrafficMeter();
const http = createServer(createHTTPHandler({router: createPeerRouter(handlers as PeerHandlers), createContext: () => ({secret})}));
http.on('connection', traffic.add);
http.listen(0, '127.0.0.1');
await once(http, 'listening');
const url = `http://127.0.0.1:${(http.address() as AddressInfo).port}`;
const measureHttp = () => traffic.measure().bytesReceived + traffic.measure().bytesSent;
for (const [name, link] of [['trpc over HTTP', httpLink({url})], ['trpc over HTTP, batched', httpBatchLink({url})]] as const) {
	const client = createTRPCClient<PeerRouter>({links: [link]});
	await measure(name, measureHttp, async () => {
		await client.permits.request.mutate(request);
		await client.permits.release.mutate([release]);
	});
}

const server = await startPeerServer('127.0.0.1:0', handlers as PeerHandlers, {timer, metrics});
if (!server.ok) {
	throw new Error(server.error.message);
}

const peers = new PeerClients({secrets: new PeerSecrets({current: secret, accepted: []}), timer, metrics});
const peer = peers.get(server.value.address);
const measureSocket = () => peers.measureTraffic().bytesReceived + peers.measureTraffic().bytesSent;
await measure('trpc over WebSocket', measureSocket, async () => {
	await peer.run(1000, async (caller, signal) => caller.permits.request.mutate(request, {signal}));
	await peer.run(1000, async (caller, signal) => caller.permits.release.mutate([release], {signal}));
});
await measure('trpc over WebSocket, releases batched for 10 ms', measureSocket, async () => {
	await peer.run(1000, async (caller, signal) => caller.permits.request.mutate(request, {signal}));
	peer.release(release);
});
process.exit();
