import {connect, createServer} from 'node:net';

/**
 * The network between the entries and one runner. While it is cut, what either side sends or closes is held up and passed on when the cut has
 * healed; connections that are opened meanwhile are reset then.
 */
export class Link {
	#isCut = false;
	#held = [];
	#sockets = new Set();
	#server = createServer({pauseOnConnect: true, allowHalfOpen: true}, socket => {
		this.#accept(socket);
	});

	constructor(port) {
		this.port = port;
	}

	async start() {
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${this.#server.address().port}`;
	}

	cut() {
		this.#isCut = true;
	}

	heal() {
		this.#isCut = false;
		for (const pass of this.#held.splice(0)) {
			pass();
		}
	}

	close() {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#pass(action) {
		if (this.#isCut) {
			this.#held.push(action);
		} else {
			action();
		}
	}

	#accept(socket) {
		this.#add(socket);
		if (this.#isCut) {
			this.#held.push(() => {
				socket.resetAndDestroy();
			});
			return;
		}

		const server = connect({port: this.port, host: '127.0.0.1', allowHalfOpen: true});
		this.#add(server);
		this.#join(socket, server);
		this.#join(server, socket);
		socket.resume();
	}

	#add(socket) {
		this.#sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
	}

	#join(from, to) {
		from.on('data', bytes => {
			this.#pass(() => {
				to.write(bytes);
			});
		});
		from.on('end', () => {
			this.#pass(() => {
				to.end();
			});
		});
		from.on('error', () => {
			this.#pass(() => {
				to.resetAndDestroy();
			});
		});
	}
}
