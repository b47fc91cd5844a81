import {type OutgoingHttpHeaders, type ServerResponse, type IncomingHttpHeaders} from 'node:http';

/** Hop-by-hop headers, which are never forwarded. */
const connectionHeaders = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** Reason phrases that Node.js writes; it throws on others. */
const writableTextPattern = /^[\t\u0020-\u007E\u0080-\u00FF]*$/v;

/** Lower-case names of the hop-by-hop headers, including those listed in the `Connection` header. */
export const listConnectionHeaders = (connection: string | undefined): Set<string> => {
	const names = new Set(connectionHeaders);
	for (const name of connection?.split(',') ?? []) {
		names.add(name.trim().toLowerCase());
	}

	return names;
};

/** Headers of a backend server's answer that are forwarded to the caller. */
export const selectAnswerHeaders = (headers: IncomingHttpHeaders): OutgoingHttpHeaders => {
	const connection = listConnectionHeaders(headers.connection);
	return Object.fromEntries(Object.entries(headers).filter(([name]) => !connection.has(name)));
};

/** Writes the head of an answer; `close` asks the caller to use another connection for its next request. */
export const writeHead = (response: ServerResponse, head: {status: number; statusText?: string; headers: OutgoingHttpHeaders; close: boolean}): void => {
	const headers = head.close ? {...head.headers, connection: 'close'} : head.headers;
	const {status, statusText = ''} = head;
	if (statusText !== '' && writableTextPattern.test(statusText)) {
		response.writeHead(status, statusText, headers);
	} else {
		response.writeHead(status, headers);
	}
};

/**
 * Ends an answer that is not complete, visibly so for its caller. Before HTTP/1.1 there are no chunks, so an answer without
 * a length ends with its connection: only a reset shows that it is not complete.
 */
export const closeIncompleteAnswer = (response: ServerResponse): void => {
	const {httpVersionMajor, httpVersionMinor} = response.req;
	const hasChunks = httpVersionMajor > 1 || httpVersionMinor > 0;
	if (response.headersSent && !hasChunks) {
		response.socket?.resetAndDestroy();
	}

	response.destroy();
};
