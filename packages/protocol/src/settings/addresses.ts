import {isIP, isIPv4} from 'node:net';

const highestPort = 65_535;

/** Splits `host:port` or `[host]:port`; undefined unless the host is an IP address and the port exists. */
export const parseAddress = (address: string): {host: string; port: number} | undefined => {
	const match = /^(?:\[(?<host6>[\da-fA-F:.]+)\]|(?<host4>[\d.]+)):(?<port>\d{1,5})$/v.exec(address);
	const host = match?.groups?.host6 ?? match?.groups?.host4;
	const port = Number(match?.groups?.port);
	return host !== undefined && isIP(host) !== 0 && port <= highestPort ? {host, port} : undefined;
};

/** True for `host:port` with an IPv4 address and a port that a connection can be opened to. */
export const isRemoteAddress = (address: string): boolean => {
	const parsed = parseAddress(address);
	return parsed !== undefined && isIPv4(parsed.host) && isPort(parsed.port);
};

/** True for a port that a connection can be opened to. */
export const isPort = (port: number): boolean => Number.isInteger(port) && port > 0 && port <= highestPort;
