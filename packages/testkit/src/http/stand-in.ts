/** A running server that stands in for a backend server or the platform in tests. */
export type StandIn = {
	/** `host:port` of its listener. */
	address: string;
	close: () => Promise<void>;
};
