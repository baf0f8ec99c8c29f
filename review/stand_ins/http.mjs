/** Plain HTTP calls with a time limit. */
import {once} from 'node:events';
import {Agent, request} from 'node:http';

const AGENT = new Agent({keepAlive: true, maxSockets: 64});

/** Answer of a call: status and decoded body; null without an answer. */
export function call(address, method, path, {body, headers, timeoutMs} = {}) {
  const [host, port] = address.split(':');
  const text = body === undefined ? '' : JSON.stringify(body);
  return new Promise(resolve => {
    const req = request(
      {host, port, method, path, agent: AGENT, timeout: timeoutMs},
      res => {
        let answer = '';
        res.setEncoding('utf8');
        res.on('data', chunk => (answer += chunk));
        res.on('error', () => resolve(null));
        res.on('end', () => resolve(decode(res.statusCode, answer)));
      },
    );
    req.setHeader('content-type', 'application/json');
    for (const [name, value] of Object.entries(headers ?? {})) {
      req.setHeader(name, value);
    }
    req.on('timeout', () => req.destroy(new Error('no answer in time')));
    req.on('error', () => resolve(null));
    req.end(text);
  });
}

function decode(status, text) {
  try {
    return {status, body: text === '' ? {} : JSON.parse(text)};
  } catch {
    return null;
  }
}

/** Listens on an address and a port, 0 for a free one; returns the port. */
export async function listen(server, host, port) {
  server.listen(port, host);
  await once(server, 'listening');
  return server.address().port;
}
