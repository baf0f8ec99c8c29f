/** `IP:PORT` texts. */

/** Splits `IP:PORT` or `[IPv6]:PORT` into host and port. */
export function splitAddress(address: string): {
  readonly host: string;
  readonly port: number;
} {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return {host, port: Number(address.slice(colon + 1))};
}
