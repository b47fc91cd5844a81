import {
	CallerConnection, Entry, StoreLink, answerPlain, bounds, buildConfiguration, buildRoute, buildService, hasTrouble, host, key, runScript, wait,
} from '../stand-ins/deployment.mjs';

const entryCount = 14;
const zones = ['north', 'south', 'west'];
const rounds = 5;
/** Largest share of the machines that the store turns away, and the time for which it does, in ms; the site file has up to 9 s. */
const silentShare = 0.35;
const silenceMs = 7000;
/** Time after `drainMs` for which a leaving runner still serves, in ms. */
const lingerMs = 500;
const callIntervalMs = 100;

const configuration = buildConfiguration({
	routes: [buildRoute({
		pathPrefix: '/release/', kind: 'unsafe', service: 'desk', timeoutMs: 2000, targetLatencyMs: 300, maxAttempts: 1,
	})],
	services: [buildService({name: 'desk', maxConns: 580})],
});

/** Entries that the others get the state of the store from, by their logs. */
const findReaders = entries => {
	const names = new Set();
	for (const {log} of entries) {
		const lines = log.join('').split('\n').filter(line => line.includes('"feed.following"'));
		if (lines.length > 0) {
			names.add(JSON.parse(lines.at(-1)).peer);
		}
	}

	return entries.filter(({name}) => names.has(name));
};

await runScript(import.meta.dirname, async deployment => {
	const {record, entries, store} = deployment;
	await deployment.startStore(configuration);
	for (let index = 0; index < 4; index++) {
		await deployment.addRunner({
			id: `i-${index}`, service: 'desk', zone: zones[index % 3], run: answerPlain(100),
		});
	}

	for (let index = 0; index < entryCount; index++) {
		const link = new StoreLink(store.address);
		await link.start();
		deployment.links.push(link);
		entries.push(new Entry({
			name: `edge-${index}`, host: `127.0.0.${index + 11}`, zone: zones[index % 3], storeAddress: link.address, bounds, record, link,
		}));
	}

	await Promise.all(entries.map(async entry => entry.start()));
	await Promise.all(entries.map(async entry => entry.waitUntilReady()));
	await wait(3000);

	let sent = 0;
	const calls = new Map();
	const traffic = {isOver: false};
	const runCaller = async entry => {
		let connection = new CallerConnection(entry.front);
		while (!traffic.isOver) {
			sent++;
			const attemptId = `a${sent}`;
			const {status, end} = await connection.send({
				method: 'POST', path: '/release/lathe', body: 'order', headers: {
					Host: host, 'X-Attempt-Id': attemptId, 'X-Deadline-Ms': 2000, Authorization: `Bearer ${key}`,
				},
			});
			calls.set(attemptId, {entry, status, end});
			if (end !== 'whole') {
				connection.close();
				connection = new CallerConnection(entry.front);
			}

			await wait(callIntervalMs * (0.5 + Math.random()));
		}

		connection.close();
	};

	const callers = entries.map(async entry => runCaller(entry));
	const leaving = [];
	for (let round = 0; round < rounds; round++) {
		const runner = await deployment.addRunner({
			id: `i-leaves-${round}`, service: 'desk', zone: zones[round % 3], run: answerPlain(100),
		});
		await wait(4000);
		const silenced = hasTrouble ? findReaders(entries) : [];
		if (silenced.length > entryCount * silentShare) {
			throw new Error(`${silenced.length} of ${entryCount} machines are too many to be turned away`);
		}

		for (const {name, link} of silenced) {
			link.setSilent(true);
			record(`the store no longer answers ${name}`);
		}

		await wait(100);
		store.put('servers', runner.id, runner.describe({state: 'draining', sequence: 2}));
		const acknowledgedAt = Date.now();
		record(`the store accepts that ${runner.id} is draining`);
		leaving.push({runner, acknowledgedAt, silenced});
		await wait(bounds.drainMs + lingerMs);
		runner.close();
		store.remove('servers', runner.id);
		record(`${runner.id} exits`);
		await wait(silenceMs - bounds.drainMs - lingerMs);
		for (const {link} of silenced) {
			link.setSilent(false);
		}

		await wait(bounds.settleWindowMs);
	}

	traffic.isOver = true;
	await Promise.all(callers);
	let late = 0;
	for (const {runner, acknowledgedAt, silenced} of leaving) {
		record(`${runner.id} was reached last ${Math.max(...runner.runs.map(({at}) => at)) - acknowledgedAt} ms after the acknowledgement`);
		for (const {attemptId, at} of runner.runs) {
			const {entry, status, end} = calls.get(attemptId);
			const afterMs = at - acknowledgedAt;
			if (afterMs > bounds.drainMs && !silenced.includes(entry)) {
				late++;
				record(`${attemptId} from ${entry.name} reached ${runner.id} ${afterMs} ms after the acknowledgement: status ${status}, ${end}`);
			}
		}
	}

	const runnersById = new Map(deployment.runners.flatMap(({id, runs}) => runs.map(({attemptId}) => [attemptId, id])));
	const counts = {};
	for (const [attemptId, {entry, status, end}] of calls) {
		record(`${attemptId} sent to ${entry.name}: status ${status}, ${end}, run by ${runnersById.get(attemptId) ?? 'nobody'}`);
		counts[`${status} ${end}`] = (counts[`${status} ${end}`] ?? 0) + 1;
	}

	record(`answers: ${JSON.stringify(counts)}`);
	return late > 0 ? `DRAIN: ${late} requests of machines in touch reached a runner later than ${bounds.drainMs} ms after it was acknowledged to drain` : undefined;
});
