/**
 * Network addresses of processes: an IP address and a port.
 */
import {isIP} from 'node:net';

/** An address to listen on or to connect to. */
export type Address = {
	/** IP address, version 4 or 6, without brackets. */
	readonly host: string;
	/** Port, 0 to 65535; 0 lets the operating system choose when listening. */
	readonly port: number;
};

/** Largest port. */
export const maxPort = 65_535;

/** Parses "ip:port" or "[ip6]:port". Returns undefined for any other text. */
export function tryParseAddress(text: string): Address | undefined {
	const groups = /^(?:\[(?<host6>[^\]]+)\]|(?<host4>[^:]+)):(?<port>\d{1,5})$/v.exec(text)?.groups;
	const host = groups?.host6 ?? groups?.host4 ?? '';
	const port = Number(groups?.port);
	const version = groups?.host6 === undefined ? 4 : 6;
	return isIP(host) === version && port <= maxPort ? {host, port} : undefined;
}

/** Formats an address as "ip:port" or "[ip6]:port". */
export function formatAddress(address: Address): string {
	return isIP(address.host) === 6 ? `[${address.host}]:${address.port}` : `${address.host}:${address.port}`;
}

/**
 * Whether `text` is an "ip:port" or "[ip6]:port" to which a connection can be made. Of the texts of one address, only that of
 * {@link formatAddress} is accepted, so that equal addresses have equal texts.
 */
export function isConnectable(text: string): boolean {
	const address = tryParseAddress(text);
	return address !== undefined && address.port > 0 && !isWildcard(address) && !address.host.includes('%') && formatAddress(address) === text;
}

/** Whether this is the wildcard address, which can be listened on but not connected to. */
export function isWildcard(address: Address): boolean {
	return address.host === '0.0.0.0' || address.host === '::';
}
