// A runner as a process of its own: answers streams of numbered events without a length, so that each ends with its connection.
import {createServer} from 'node:http';
import process from 'node:process';

const [id, portText, eventsText, pauseText] = process.argv.slice(2);
const events = Number(eventsText);
const pauseMs = Number(pauseText);
const born = Date.now();

const sleep = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

const report = (event, fields) => {
	process.stdout.write(`${JSON.stringify({event, ...fields})}\n`);
};

const server = createServer(async (request, response) => {
	const attemptId = request.headers['x-attempt-id'];
	const expected = request.headers['x-expect-instance'];
	request.resume();
	if (expected !== undefined && expected !== id) {
		response.writeHead(421, {'X-Not-Executed': '1', 'content-length': 0}).end();
		return;
	}

	if (request.url === '/health') {
		response.writeHead(200, {'X-Runner-Id': id, 'content-length': 0}).end();
		return;
	}

	report('ran', {id: attemptId, runner: id, born});
	response.removeHeader('transfer-encoding');
	response.writeHead(200, {
		'X-Attempt-Id': attemptId, 'X-Response-Stamp': `${id}.${born}.${attemptId}`, 'content-type': 'text/event-stream',
	});
	const first = Number(request.headers['last-event-id'] ?? 0) + 1;
	for (let number = first; number <= events && !response.destroyed; number++) {
		await sleep(pauseMs);
		response.write(`id: ${number}\ndata: ${attemptId} ${number}\n\n`);
	}

	response.end();
});
server.listen(Number(portText), '127.0.0.1', () => {
	report('started', {runner: id, born, port: server.address().port});
});
