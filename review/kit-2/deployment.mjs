/** The project's programs as separate processes on loopback addresses. */
import {spawn} from 'node:child_process';
import {createWriteStream, readFileSync} from 'node:fs';
import {mkdir, mkdtemp, rm, writeFile} from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

export const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** Port of the metrics in the deploy file. */
const METRICS_PORT = 9_464;

/** Time in ms that a gateway may take until it is ready. */
const READY_WITHIN_MS = 20_000;

/** Words of the `run` entry of a role in the deploy file. */
function runWords(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const [, run] = /^run = "(.*)"$/m.exec(section) ?? [];
  if (!run) throw new Error(`no command for ${role}`);
  return run.split(' ');
}

/** Resolves with whether a port can be bound. */
function isFree(host, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

async function freePort(hosts, from) {
  for (let port = from; port < from + 2_000; port += 20) {
    const checks = hosts.map(host => isFree(host, port));
    if ((await Promise.all(checks)).every(Boolean)) return port;
  }
  throw new Error('no free port');
}

/** One HTTP exchange; null without a complete answer in time. */
export function exchange({address, method, path, headers, body, timeoutMs}) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const req = http.request(
      {host, port, method, path, agent: false, headers},
      res => {
        const chunks = [];
        res.on('data', chunk => chunks.push(chunk));
        res.on('error', () => resolve(null));
        res.on('close', () => {
          if (!res.complete) return resolve(null);
          const text = Buffer.concat(chunks).toString();
          resolve({status: res.statusCode, text});
        });
      },
    );
    req.setTimeout(timeoutMs, () => req.destroy());
    const timer = setTimeout(() => req.destroy(), timeoutMs);
    req.on('close', () => clearTimeout(timer));
    req.on('error', () => resolve(null));
    req.end(body);
  });
}

/** One process of the system. */
class Instance {
  child = null;
  bootstrap = true;

  constructor(deployment, role, number, host, zone) {
    Object.assign(this, {deployment, role, number, host, zone});
    this.name = `${role}-${number}`;
  }

  async start() {
    const {folder} = this.deployment;
    const path = join(folder, `${this.name}.toml`);
    await mkdir(join(folder, `${this.name}.data`), {recursive: true});
    await writeFile(path, this.deployment.settingsOf(this));
    this.bootstrap = false;
    const [program, ...words] = runWords(this.role);
    const {PATH, HOME, LANG} = process.env;
    const log = createWriteStream(join(folder, `${this.name}.log`), {
      flags: 'a',
    });
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, MUSTARDFERRY_CONFIG: path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    child.once('exit', (code, signal) => {
      log.end();
      if (this.child === child) this.child = null;
      this.deployment.note('process-ended', {name: this.name, code, signal});
    });
    this.child = child;
    this.deployment.note('process-started', {name: this.name, pid: child.pid});
  }

  signal(name) {
    this.child?.kill(name);
    this.deployment.note('signal', {name: this.name, signal: name});
  }

  async kill() {
    const {child} = this;
    if (!child) return;
    const ended = new Promise(resolve => child.once('exit', resolve));
    this.signal('SIGKILL');
    await ended;
  }
}

/** Members, gateways and what the platform knows of them. */
export class Deployment {
  members = [];
  gateways = [];

  /** @param note Writes an event to the record. */
  constructor({members = 3, gateways = 6, note}) {
    this.note = note;
    this.sizes = {members, gateways};
    this.net = `127.${20 + (process.pid % 200)}.${1 + Math.floor(Math.random() * 250)}`;
  }

  host(number) {
    return `${this.net}.${number}`;
  }

  get controlAddresses() {
    return this.members.map(({host}) => `${host}:${this.controlPort}`);
  }

  async open() {
    this.folder = await mkdtemp(join(tmpdir(), 'review-'));
    const {members, gateways} = this.sizes;
    const hosts = [];
    for (let n = 1; n <= members; n++) hosts.push(this.host(n));
    for (let n = 1; n <= gateways; n++) hosts.push(this.host(100 + n));
    for (const host of hosts) {
      if (!(await isFree(host, METRICS_PORT))) throw new Error('metrics port');
    }
    this.controlPort = await freePort(hosts, 8_100);
    this.peerPort = await freePort(hosts, 21_000);
    const zone = n => ZONES[n % ZONES.length];
    for (let n = 1; n <= members; n++)
      this.members.push(new Instance(this, 'member', n, this.host(n), zone(n)));
    for (let n = 1; n <= gateways; n++)
      this.gateways.push(
        new Instance(this, 'gateway', n, this.host(100 + n), zone(n)),
      );
    for (const each of [...this.members, ...this.gateways]) await each.start();
  }

  /** Address at which callers reach a gateway. */
  callerAddress({host}) {
    return `${host}:${this.controlPort + 1}`;
  }

  settingsOf({role, name, host, zone, bootstrap}) {
    const isMember = role === 'member';
    const {folder, controlPort, peerPort} = this;
    const listen = isMember
      ? `controlPlane = "${host}:${controlPort}"`
      : `frontendAddress = "${host}:${controlPort + 1}"
readinessAddress = "${host}:${controlPort + 2}"`;
    const seeds = this.controlAddresses.slice(0, 3);
    return `nodeName = "${name}"
role = "${role}"
machineClass = "${isMember ? 'core' : 'frontend'}"
serves = ["${isMember ? 'control_plane' : 'frontend'}"]
ipAddress = "${host}"
zone = "${zone}"
region = "region-1"
internalPortRange = [${peerPort},${peerPort + 15}]
seedNodes = ${JSON.stringify(seeds)}
bootstrap = ${bootstrap}
faultCounted = ${isMember}
discovery = "registration"
entryPoint = "virtual_ip"
heartbeatIntervalMs = 1500
contracts = ["base","drain","config","cost","recover","sched"]
config_mode = "highest"
commandMode = "request"
${isMember ? `dataDirectory = "${join(folder, `${name}.data`)}"` : ''}
[zones]
${ZONES.map(each => `${each} = "region-1"`).join('\n')}
[listenAddresses]
${listen}
[limits]
cpuShare = 0.675
cpuCores = ${isMember ? 2 : 1}
memoryMb = 350
fileDescriptors = 4096
linkMbps = 1000.0
diskMb = ${isMember ? 128 : 0}
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
touchMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
gracePeriodS = 6
configurationApplyMs = 2000
recoveryS = 12
maxHoldMs = 1000
stopTimeoutMs = 50
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
remoteFactor = 2
retransmitMs = 1300
`;
  }

  /** Sends a configuration until a member acknowledges it. */
  async configure(configuration) {
    const body = JSON.stringify(configuration);
    for (let turn = 0; ; turn++) {
      const answer = await exchange({
        address: this.controlAddresses[turn % this.members.length],
        method: 'PUT',
        path: '/v1/configuration',
        headers: {'content-type': 'application/json'},
        body,
        timeoutMs: 1_000,
      });
      if (answer?.status === 200) return;
      if (turn > 200) throw new Error('the configuration is not acknowledged');
      await sleep(100);
    }
  }

  /** Waits until all gateways say that they are ready. */
  async ready() {
    const until = Date.now() + READY_WITHIN_MS;
    for (const {host} of this.gateways) {
      for (;;) {
        const answer = await exchange({
          address: `${host}:${this.controlPort + 2}`,
          method: 'GET',
          path: '/v1/readiness',
          timeoutMs: 500,
        });
        if (answer?.status === 200) break;
        if (Date.now() > until) throw new Error('a gateway is not ready');
        await sleep(100);
      }
    }
  }

  /** Member at a control address. */
  memberAt(address) {
    const [host] = (address ?? '').split(':');
    return this.members.find(each => each.host === host);
  }

  async close() {
    for (const each of [...this.members, ...this.gateways]) {
      each.child?.kill('SIGCONT');
      await each.kill();
    }
    if (process.env.KEEP_LOGS) console.log(this.folder);
    else await rm(this.folder, {recursive: true, force: true});
  }
}
