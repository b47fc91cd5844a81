/** Memory of one connection of a caller with a request, in bytes: the socket, its parser, the head, and the objects of the request. */
export const connectionBytes = 16 * 1024;
/** Descriptors kept for files, listeners and standard streams. */
const fileDescriptors = 200;
/** Descriptors for calls to the store and their replacements. */
const storeDescriptors = 16;
/** Descriptors for each other entry: a tunnel and a connection for the state of the store. */
const descriptorsPerPeer = 2;
/** Most of the descriptors that are kept for backend servers: a request uses one descriptor at its caller and one at its server. */
const serverShare = 0.5;
/** Share of the memory of heads for connections; the rest is for requests that wait on them. */
const connectionMemoryShare = 0.7;
/** Least connections, so that a process with few descriptors still serves. */
const leastConnections = 16;

/** What the number of connections depends on. */
export type ConnectionDemand = {
	/** Open file descriptors of the process. */
	descriptors: number;
	/** Connections that all backend servers accept together. */
	serverConnections: number;
	/** Other entries. */
	peers: number;
	/** Memory for the heads of callers, in bytes. */
	headBytes: number;
};

/** Computes how many connections of callers may be open, from descriptors and memory. */
export const computeConnectionLimit = ({descriptors, serverConnections, peers, headBytes}: ConnectionDemand): number => {
	const usable = descriptors - fileDescriptors - storeDescriptors;
	const forServers = Math.min(serverConnections, Math.floor(usable * serverShare));
	const forPeers = Math.min(peers * descriptorsPerPeer, Math.floor(usable * serverShare * serverShare));
	const byMemory = Math.floor(headBytes * connectionMemoryShare / connectionBytes);
	return Math.max(leastConnections, Math.min(usable - forServers - forPeers, byMemory));
};
