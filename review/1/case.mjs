import {
	CallerConnection, answerPlain, answerStream, buildConfiguration, buildRoute, buildService, engine, hasTrouble, host, key, runScript, wait,
} from '../stand-ins/deployment.mjs';

/** An address that is none: a port has at most 65535. */
const unreadableAddress = '127.0.0.1:80801';
const trafficMs = 85_000;
const auditIntervalMs = 5200;
/** The rule: a machine closes more connections than this without an answer to a request that it has passed on to a sound runner. */
const closedLimit = 3;

const configuration = buildConfiguration({
	routes: [
		buildRoute({
			pathPrefix: '/look/', service: 'desk', timeoutMs: 600, targetLatencyMs: 100,
		}),
		buildRoute({
			pathPrefix: '/audit/', kind: 'streaming', service: 'model', streamResume: true, gapAimMs: 800, timeoutMs: 15_000, targetLatencyMs: 3000,
		}),
	],
	services: [buildService({name: 'desk'}), buildService({name: 'model', maxConns: 434, engine})],
});

await runScript(import.meta.dirname, async deployment => {
	const {record, entries} = deployment;
	await deployment.startStore(configuration);
	await deployment.addRunner({id: 'i-desk', service: 'desk', run: answerPlain()});
	for (let index = 0; index < 2; index++) {
		await deployment.addRunner({
			id: `i-model-${index}`, service: 'model', slots: 11, run: answerStream(),
		});
	}

	await deployment.startEntries(2);
	if (hasTrouble) {
		// Another writer's entry, beside those of the runners.
		deployment.store.put('servers', 'i-other', {...deployment.runners[0].describe(), address: unreadableAddress});
		record(`another writer adds an entry with the address ${unreadableAddress}`);
	}

	let sent = 0;
	const closed = new Map(entries.map(({name}) => [name, 0]));
	const send = async (entry, connection, path, request) => {
		sent++;
		const attemptId = `a${sent}`;
		const {status, end} = await connection.send({
			path, ...request, headers: {
				Host: host, 'X-Attempt-Id': attemptId, Authorization: `Bearer ${key}`, ...request.headers,
			},
		});
		const runners = deployment.runners.filter(({runs}) => runs.some(run => run.attemptId === attemptId));
		record(`${attemptId} ${path} at ${entry.name}: status ${status}, ${end}, run by ${runners.map(({id}) => id).join(', ') || 'nobody'}`);
		return {status, end, hasRun: runners.length > 0};
	};

	/** A short request, then a long prompt on the kept connection. */
	const call = async entry => {
		const connection = new CallerConnection(entry.front);
		const look = await send(entry, connection, '/look/bay', {headers: {'X-Deadline-Ms': 600}});
		if (look.end === 'whole') {
			const audit = await send(entry, connection, '/audit/yard', {
				method: 'POST', body: 'wear records',
				headers: {
					'X-Deadline-Ms': 15_000, 'X-Model': 'm', 'X-Token-Count': '420000,800', 'X-Prompt-Prefix': `aa:40,${sent.toString(16)}:419960`,
				},
			});
			if (audit.hasRun && audit.end !== 'whole') {
				closed.set(entry.name, closed.get(entry.name) + 1);
			}
		}

		connection.close();
	};

	const calls = [];
	const until = Date.now() + trafficMs;
	for (let index = 0; Date.now() < until; index++) {
		calls.push(call(entries[index % entries.length]));
		await wait(auditIntervalMs);
	}

	await Promise.all(calls);
	for (const {name, log, ownEnds} of entries) {
		const unexpected = log.join('').split('\n').filter(line => line.includes('process.unexpected_error'));
		record(`${name} ended by itself ${ownEnds.length} times, ${closed.get(name)} connections closed after the request was passed on`);
		record(`${name} logged ${unexpected.length} unexpected errors, the first: ${unexpected.at(0)?.slice(0, 260) ?? 'none'}`);
	}

	const broken = [...closed].filter(([, count]) => count > closedLimit);
	return broken.length > 0 ? `LOST: ${broken.map(([name, count]) => `${name} has closed ${count} connections without an answer`).join(', ')}` : undefined;
});
