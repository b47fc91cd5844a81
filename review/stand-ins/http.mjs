import {Buffer} from 'node:buffer';

export const readBody = async request => {
	const parts = [];
	for await (const part of request) {
		parts.push(part);
	}

	return Buffer.concat(parts);
};

export const sendJson = (response, status, body) => {
	if (response.destroyed) {
		return;
	}

	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}).end(text);
};
