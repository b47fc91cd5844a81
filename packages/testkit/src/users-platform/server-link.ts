import {once} from 'node:events';
import {
	connect, createServer, Socket, type AddressInfo, type Server,
} from 'node:net';
import {loopbackHost} from '../http/listener.js';

/** How the link of an entry to all backend servers is cut. */
export const linkCuts = {
	/** Open connections go silent, new ones are never established. */
	hang: 'hang',
	/** Open connections are reset, new ones are refused. */
	reset: 'reset',
	/** Open connections live on, new ones are refused. */
	refuse: 'refuse',
} as const;
/** Value of `linkCuts`. */
export type LinkCut = (typeof linkCuts)[keyof typeof linkCuts];

/** The link of one entry to all backend servers, which can be cut while all its other connections live on. */
export class ServerLink {
	readonly #proxy: Server;
	readonly #pairs = new Set<[Socket, Socket]>();
	readonly #targets = new Map<number, {host: string; port: number}>();
	#cut: LinkCut | undefined;

	constructor() {
		this.#proxy = createServer(socket => {
			this.#pass(socket);
		});
	}

	/** Begins to open a connection, as an entry does. */
	readonly open = (target: {host: string; port: number}): Socket => {
		if (this.#cut === linkCuts.hang) {
			return new Socket();
		}

		if (this.#cut !== undefined) {
			return connect({host: loopbackHost, port: refusedPort});
		}

		const socket = connect({host: loopbackHost, port: (this.#proxy.address() as AddressInfo).port, noDelay: true});
		socket.once('connect', () => {
			this.#targets.set(socket.localPort!, target);
		});
		return socket;
	};

	/** Starts the proxy that connections pass through. */
	async start(): Promise<void> {
		this.#proxy.listen(0, loopbackHost);
		await once(this.#proxy, 'listening');
	}

	/** Cuts the link, or restores it. */
	setCut(cut: LinkCut | undefined): void {
		this.#cut = cut;
		for (const [near, far] of this.#pairs) {
			cutHandlers[cut ?? 'none'](near, far);
		}
	}

	close(): void {
		this.#proxy.close();
		for (const [near, far] of this.#pairs) {
			near.destroy();
			far.destroy();
		}
	}

	#pass(near: Socket): void {
		const far = new Socket();
		const pair: [Socket, Socket] = [near, far];
		this.#pairs.add(pair);
		for (const [socket, other] of [pair, pair.toReversed() as [Socket, Socket]]) {
			socket.on('error', () => undefined);
			socket.on('close', hasFailed => {
				if (hasFailed) {
					other.resetAndDestroy();
				} else {
					other.destroy();
				}

				this.#pairs.delete(pair);
			});
		}

		// The near end registers its target once it is connected, which can be after the proxy has accepted it.
		setTimeout(() => {
			const target = this.#targets.get(near.remotePort ?? 0);
			if (target === undefined) {
				near.destroy();
				return;
			}

			far.connect(target.port, target.host);
			near.pipe(far);
			far.pipe(near);
		}, registrationMs);
	}
}

/** Opens a link that is not cut. */
export const startServerLink = async (): Promise<ServerLink> => {
	const link = new ServerLink();
	await link.start();
	return link;
};

/** Port that no process listens on. */
const refusedPort = 1;
const registrationMs = 2;

const cutHandlers: Record<LinkCut | 'none', (near: Socket, far: Socket) => void> = {
	hang(near, far) {
		near.unpipe(far);
		far.unpipe(near);
	},
	reset(near, far) {
		near.resetAndDestroy();
		far.destroy();
	},
	refuse: () => undefined,
	none(near, far) {
		near.unpipe(far);
		far.unpipe(near);
		near.pipe(far);
		far.pipe(near);
	},
};
