/** A running stand-in. */
export type StandIn = {
	/** `host:port` of its listener. */
	address: string;
	close: () => Promise<void>;
};
