#!/usr/bin/env node
/** Measures traffic between entries, CPU and memory, idle and under permit load: `measure-peers.ts ENTRIES PERMITS_PER_SECOND`. */
import {readFileSync} from 'node:fs';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {stringify} from 'yaml';
import type {PermitRequest} from '@knapweedrack/core';
import {startEngine, startPlatform, ProcessGroup} from '@knapweedrack/testkit';
import {createMetrics} from '../metrics/metrics.js';
import {PeerClients} from '../peers/peer-clients.js';
import type {PeerClient} from '../peers/peer-client.js';
import {PeerSecrets} from '../peers/peer-secrets.js';
import {createTimerService} from '../timer/timer-service.js';

const secret = 'secret-for-measurement';
const settleMs = 15_000;
const measureMs = 10_000;
const ticksPerSecond = 100;
const entryCount = Number(process.argv[2] ?? 3);
const permitsPerSecond = Number(process.argv[3] ?? 200);
const domains = ['regina', 'saskatoon', 'moose-jaw'];

type Traffic = {bytesReceived: number; bytesSent: number};
type Status = {entryId: string; backendServers: Array<{serverId: string; mode: string}>; totals: Record<string, number>; peerTraffic: {client: Traffic; server: Traffic}};
type Sample = {at: number; cpuSeconds: number; bytes: number; heartbeats: number};

const peerSecrets = {current: secret, accepted: []};
const timer = createTimerService();
const peers = new PeerClients({secrets: new PeerSecrets(peerSecrets), timer, metrics: createMetrics(undefined, 'measure')});
const group = new ProcessGroup();
const folder = await mkdtemp(join(tmpdir(), 'measure-peers-'));
const platform = await startPlatform({listLagMs: 200});
const engines = await Promise.all(Array.from({length: entryCount * 2}, async (_, index) => startEngine({serverId: `engine-${index}`})));

const putInstance = async (id: string, address: string, kind: string, failureDomain: string) => {
	await fetch(`http://${platform.address}/testkit/instances/${id}`, {
		method: 'PUT', headers: {'content-type': 'application/json'},
		body: JSON.stringify({
			id, address, kind, failureDomain, serves: kind === 'entry' ? '' : 'truing-model', state: 'live',
		}),
	});
};

const readCpuSeconds = (pid: number): number => {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
};

const readMemoryMb = (pid: number): number => Number(/VmRSS:\s+(?<kb>\d+)/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kb) / 1024;

const fetchStatus = async (peer: PeerClient): Promise<Status> => {
	const answer = await peer.run(5000, async (caller, signal) => caller.operations.status.query(undefined, {signal}));
	if (!answer.ok) {
		throw new Error(answer.error.message);
	}

	return answer.value as Status;
};

const entries: Array<{id: string; pid: number; peer: PeerClient}> = [];
for (const [index, engine] of engines.entries()) {
	await putInstance(`engine-${index}`, engine.address, 'engine', domains[index % domains.length]!);
}

const seedPeers: string[] = [];
for (let index = 0; index < entryCount; index++) {
	const id = `entry-${index}`;
	const failureDomain = domains[index % domains.length]!;
	const file = join(folder, `${id}.yaml`);
	await writeFile(file, stringify({
		entryId: id, failureDomain, region: 'prairie', callerListener: '127.0.0.1:0', peerListener: '127.0.0.1:0', platform: platform.address,
		seedPeers: seedPeers.slice(0, 1), peerSecrets, gracePeriodMs: 1000,
	}));
	const started = await group.start({id, module: '@knapweedrack/entry/main', args: ['--settings', file]});
	const {callerAddress, peerAddress} = started.ready as unknown as {callerAddress: string; peerAddress: string};
	await putInstance(id, callerAddress, 'entry', failureDomain);
	seedPeers.push(peerAddress);
	entries.push({id, pid: started.pid, peer: peers.get(peerAddress)});
}

await wait(settleMs);

const measureSample = async ({pid, peer}: (typeof entries)[number]): Promise<Sample> => {
	const cpuSeconds = readCpuSeconds(pid);
	const {peerTraffic: {client, server}, totals} = await fetchStatus(peer);
	return {
		at: performance.now(), cpuSeconds, bytes: client.bytesReceived + client.bytesSent + server.bytesReceived + server.bytesSent,
		heartbeats: totals['heartbeat.sent'] ?? 0,
	};
};

const measure = async (name: string, run: () => Promise<void>) => {
	const before = await Promise.all(entries.map(async entry => measureSample(entry)));
	// The difference of two successive samples is the traffic that a sample itself causes.
	const probe = await Promise.all(entries.map(async entry => measureSample(entry)));
	await run();
	const after = await Promise.all(entries.map(async entry => measureSample(entry)));
	for (const [index, {id, pid}] of entries.entries()) {
		const [first, second, third] = [before[index]!, probe[index]!, after[index]!];
		const seconds = (third.at - second.at) / 1000;
		const bytes = third.bytes - second.bytes - (second.bytes - first.bytes);
		console.log(JSON.stringify({
			name, id, cpuPercent: Number((((third.cpuSeconds - second.cpuSeconds) / seconds) * 100).toFixed(2)), bytesPerSecond: Math.round(bytes / seconds),
			heartbeatsStartedPerSecond: Number(((third.heartbeats - second.heartbeats) / seconds).toFixed(2)), memoryMb: Math.round(readMemoryMb(pid)),
		}));
	}
};

let sequence = 0;
const buildRequest = (serverId: string): PermitRequest => {
	sequence++;
	return {
		requestId: `3f1c9a4e-request-${sequence}`, attemptId: `3f1c9a4e-request-${sequence}-1`, entryId: 'entry-x', serverId, workspaceId: 'workspace-1',
		weight: 1, priority: 1, prefillTokens: 100, decodeTokens: 10, kvTokens: 110, deadlineInMs: 5000, firstTokenInMs: 2000, isSuspect: false,
	};
};

const counts = {granted: 0, refused: 0, unreachable: 0};
const waits: number[] = [];
const runPermit = async (peer: PeerClient, serverId: string): Promise<void> => {
	const startedAt = performance.now();
	const request = buildRequest(serverId);
	const answer = await peer.run(6000, async (caller, signal) => caller.permits.request.mutate(request, {signal}));
	waits.push(performance.now() - startedAt);
	if (!answer.ok) {
		counts.unreachable++;
	} else if (answer.value.type === 'granted') {
		counts.granted++;
		peer.release({
			permitId: answer.value.permit.permitId, serverId, result: 'completed', firstTokenMs: 5,
		});
	} else {
		counts.refused++;
	}
};

try {
	await measure('idle', async () => wait(measureMs));
	const statuses = await Promise.all(entries.map(async ({peer}) => fetchStatus(peer)));
	const owner = statuses.findIndex(({backendServers}) => backendServers.some(({mode}) => mode === 'full' || mode === 'rebuilding'));
	const {serverId} = (statuses[owner]!.backendServers[0]!);
	const {peer, id} = entries[owner]!;
	const before = peers.measureTraffic();
	await measure('load', async () => {
		const endAt = performance.now() + measureMs;
		const tickMs = 20;
		const running: Array<Promise<void>> = [];
		while (performance.now() < endAt) {
			for (let index = 0; index < (permitsPerSecond * tickMs) / 1000; index++) {
				running.push(runPermit(peer, serverId));
			}

			await wait(tickMs);
		}

		await Promise.all(running);
	});
	const after = peers.measureTraffic();
	waits.sort((left, right) => left - right);
	console.log(JSON.stringify({
		owner: id, serverId, ...counts, modes: statuses.map(({backendServers}) => backendServers.map(({mode}) => mode).join(',')),
		bytesPerPermitWithStatusCalls: Math.round((after.bytesReceived + after.bytesSent - before.bytesReceived - before.bytesSent) / waits.length),
		permitWaitP50Ms: waits[Math.floor(waits.length / 2)]?.toFixed(2), permitWaitP99Ms: waits[Math.floor(waits.length * 0.99)]?.toFixed(2),
	}));
} finally {
	await peers.close();
	await group.closeAll();
	await Promise.all(engines.map(async engine => engine.close()));
	await platform.close();
	await rm(folder, {recursive: true});
	timer.stop();
}

process.exit();
