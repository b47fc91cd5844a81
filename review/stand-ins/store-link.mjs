import {connect, createServer} from 'node:net';

/** The link of one entry to the store; while it is silent, nothing passes in either direction and nothing is answered. */
export class StoreLink {
	#isSilent = false;
	#sockets = new Set();
	#server;

	constructor(storeAddress) {
		this.storeAddress = storeAddress;
	}

	async start() {
		this.#server = createServer(socket => {
			this.#pass(socket);
		});
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${this.#server.address().port}`;
	}

	/** Connections that were silenced stay so and are reset at the end, as what they lost cannot be made up. */
	setSilent(isSilent) {
		this.#isSilent = isSilent;
		for (const socket of this.#sockets) {
			if (isSilent) {
				socket.isLost = true;
			} else if (socket.isLost) {
				socket.resetAndDestroy();
			}
		}
	}

	close() {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#pass(near) {
		const [host, port] = this.storeAddress.split(':');
		const far = connect({host, port: Number(port)});
		near.isLost = this.#isSilent;
		this.#sockets.add(near);
		for (const [socket, other] of [[near, far], [far, near]]) {
			socket.on('error', () => undefined);
			socket.on('data', bytes => {
				if (!near.isLost) {
					other.write(bytes);
				}
			});
			socket.on('close', () => {
				this.#sockets.delete(near);
				if (!near.isLost || socket === near) {
					other.destroy();
				}
			});
		}
	}
}
