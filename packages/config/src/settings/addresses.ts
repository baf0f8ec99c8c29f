/** `IP:PORT` addresses as used in settings. */
import {isIP} from 'node:net';

/** The parts of an `IP:PORT` address; IPv6 addresses are written `[IP]:PORT`. */
export interface IpAddress {
  readonly ip: string;
  readonly port: number;
}

/** Parses `IP:PORT`; undefined for host names and malformed text. */
export function parseIpAddress(text: string): IpAddress | undefined {
  const match = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text);
  if (match === null) return undefined;
  const ip = match[1] ?? match[2] ?? '';
  const port = Number(match[3]);
  const family = match[1] === undefined ? 4 : 6;
  if (isIP(ip) !== family || port > 65_535) return undefined;
  return {ip, port};
}

/** Whether an IP address is reachable from the same machine only. */
export function isLoopback(ip: string): boolean {
  return /^127\./.test(ip) || ip === '::1';
}
