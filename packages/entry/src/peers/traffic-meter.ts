import type {Socket} from 'node:net';

/** Traffic of peer connections in bytes since the start. */
export type PeerTraffic = {bytesReceived: number; bytesSent: number};

/** Sums the bytes of all added connections, both open and closed ones. */
export const createTrafficMeter = (): {add: (socket: Socket) => void; measure: () => PeerTraffic} => {
	const closed: PeerTraffic = {bytesReceived: 0, bytesSent: 0};
	const open = new Set<Socket>();
	return {
		add(socket) {
			open.add(socket);
			socket.once('close', () => {
				open.delete(socket);
				closed.bytesReceived += socket.bytesRead;
				closed.bytesSent += socket.bytesWritten;
			});
		},
		measure() {
			const traffic = {...closed};
			for (const socket of open) {
				traffic.bytesReceived += socket.bytesRead;
				traffic.bytesSent += socket.bytesWritten;
			}

			return traffic;
		},
	};
};
