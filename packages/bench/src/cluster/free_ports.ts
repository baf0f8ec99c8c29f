/** Ports on the loopback address that stay free until an instance uses them. */
import net from 'node:net';

/**
 * Ports below those that systems give to connections and to listeners on port 0
 * (from 32,768 on Linux, from 49,152 elsewhere). A relay that listened on a port
 * of an instance made all settings invalid ("has the same address as").
 */
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_768;

/**
 * Finds ports that nobody listens on. They are picked at random, so that
 * deployments that start at the same time rarely get the same ones.
 */
export async function freePorts(count: number): Promise<number[]> {
  const servers = new Map<number, net.Server>();
  while (servers.size < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    const server = servers.has(port) ? undefined : await tryListen(port);
    if (server !== undefined) servers.set(port, server);
  }
  await Promise.all(
    [...servers.values()].map(s => new Promise(done => s.close(done))),
  );
  return [...servers.keys()];
}

/** Listens on a port; resolves with `undefined` if it is in use. */
function tryListen(port: number): Promise<net.Server | undefined> {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', (err: NodeJS.ErrnoException) => {
      if (err.code === 'EADDRINUSE') resolve(undefined);
      else reject(err);
    });
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}
