/** Small HTTP client of the stand-ins. */
import {Agent, request} from 'node:http';

const AGENT = new Agent({keepAlive: true, maxSockets: 256});

/**
 * Sends one request.
 *
 * @returns Status and body; `cause` instead when there is no complete answer.
 */
export function send({address, method, path, headers = {}, body, timeoutMs}) {
  const [host, port] = address.split(':');
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise(resolve => {
    const failed = err => resolve({status: 0, cause: err.code ?? err.message});
    const req = request(
      {
        host,
        port,
        method,
        path,
        agent: AGENT,
        headers: {
          ...(text === undefined
            ? {}
            : {
                'content-type': 'application/json',
                'content-length': Buffer.byteLength(text),
              }),
          ...headers,
        },
      },
      res => {
        const chunks = [];
        res.on('data', chunk => chunks.push(chunk));
        res.on('error', failed);
        res.on('end', () => {
          const content = Buffer.concat(chunks).toString('utf8');
          resolve({status: res.statusCode, body: decode(content)});
        });
      },
    );
    req.setTimeout(timeoutMs, () => req.destroy(new Error('no answer')));
    req.on('error', failed);
    req.end(text);
  });
}

function decode(text) {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

export function closeConnections() {
  AGENT.destroy();
}
