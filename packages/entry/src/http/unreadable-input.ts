import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

/** Sends the refusal of input that is no request and ends the sending side of its connection. */
export type AnswerUnreadable = (error: NodeJS.ErrnoException, socket: Duplex) => void;

type Connection = {
	/** Answers that are not finished. */
	responses: Set<ServerResponse>;
	/** Error of input that is refused once the answers before it are finished. */
	error: NodeJS.ErrnoException | undefined;
	isRefused: boolean;
};

/** Refuses input of callers that is no request, in the order of the answers on each connection; a refused request is never served. */
export class UnreadableInput {
	readonly #connections = new WeakMap<Duplex, Connection>();

	constructor(private readonly answer: AnswerUnreadable) {}

	/** Adds a request to its connection; false when the connection was refused, which closes it. */
	accept({socket}: IncomingMessage, response: ServerResponse): boolean {
		const connection = this.#openConnection(socket);
		if (connection.isRefused) {
			socket.destroy();
			return false;
		}

		// The head arrived before its time-out was answered. After a parser error, no request arrives.
		connection.error = undefined;
		connection.responses.add(response);
		response.once('close', () => {
			connection.responses.delete(response);
			this.#answerPending(connection, socket);
		});
		return true;
	}

	/** Handles the event `clientError` of the server. */
	handleError(error: NodeJS.ErrnoException, socket: Duplex): void {
		if (error.code === 'ECONNRESET' || !socket.writable) {
			socket.destroy();
			return;
		}

		const connection = this.#openConnection(socket);
		// Input that the parser has rejected also runs into the time-out of a head.
		connection.error ??= error;
		this.#answerPending(connection, socket);
	}

	#openConnection(socket: Duplex): Connection {
		const connection = this.#connections.get(socket) ?? {responses: new Set(), error: undefined, isRefused: false};
		this.#connections.set(socket, connection);
		return connection;
	}

	#answerPending(connection: Connection, socket: Duplex): void {
		const {error, responses} = connection;
		// A request that is not complete is the input that cannot be read, unless its answer has begun.
		if (error === undefined || [...responses].some(({req, headersSent}) => req.complete || headersSent)) {
			return;
		}

		connection.error = undefined;
		if (socket.writable) {
			connection.isRefused = true;
			this.answer(error, socket);
		} else {
			socket.destroy();
		}
	}
}
