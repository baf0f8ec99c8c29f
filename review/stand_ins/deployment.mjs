/** The programs of the deploy file as separate processes on loopback. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  closeSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

import {call, listen} from './http.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');
const PORTS = {peers: 7_720, control: 8_166, jobs: 8_161, readiness: 8_167};
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const START_TIMEOUT_MS = 20_000;

/** Bounds of the smallest site, for the settings of the programs. */
const BOUNDS = `[bounds]
touchMs = 3000
ackTimeoutMs = 4000
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
leaseMs = 3000
retransmitMs = 1300
`;

/** Reads the command of a role from the deploy file. */
function commandOf(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  return /^run = "(.*)"$/m.exec(section)[1].split(' ');
}

/** A free /24 of the loopback network, so that runs don't meet. */
async function freeSubnet() {
  for (;;) {
    const part = () => 1 + Math.floor(Math.random() * 250);
    const subnet = `127.${part()}.${part()}`;
    const probe = createServer();
    try {
      await listen(probe, `${subnet}.1`, PORTS.peers);
      probe.close();
      return subnet;
    } catch {
      // Another run uses it.
    }
  }
}

/** Three members, two gateways, and the folder of their files. */
export class Deployment {
  processes = [];

  constructor(record) {
    this.record = record;
    this.folder = mkdtempSync(join(tmpdir(), 'mustardferry-review-'));
    process.on('exit', () => this.killAll());
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
      process.on(signal, () => process.exit(2));
    }
  }

  async open({members = 3, gateways = 2} = {}) {
    this.subnet = await freeSubnet();
    this.members = this.create('member', members, 1);
    this.gateways = this.create('gateway', gateways, 101);
    for (const each of this.processes) this.start(each);
    await this.untilReady();
  }

  /** Address for a stand-in. */
  ip(n) {
    return `${this.subnet}.${n}`;
  }

  get controls() {
    return this.members.map(({ip}) => `${ip}:${PORTS.control}`);
  }

  get callers() {
    return this.gateways.map(({ip}) => `${ip}:${PORTS.jobs}`);
  }

  create(role, count, first) {
    const created = Array.from({length: count}, (_, n) => ({
      name: `${role}-${n + 1}`,
      role,
      ip: this.ip(first + n),
      zone: ZONES[n % ZONES.length],
      first: true,
      child: null,
    }));
    this.processes.push(...created);
    return created;
  }

  start(each) {
    const path = join(this.folder, `${each.name}.toml`);
    const data = join(this.folder, `${each.name}.data`);
    mkdirSync(data, {recursive: true});
    writeFileSync(path, this.settings(each, data));
    each.first = false;
    const log = openSync(join(this.folder, `${each.name}.log`), 'a');
    const [program, ...args] = commandOf(each.role);
    each.child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        MUSTARDFERRY_CONFIG: path,
      },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    const {child, name} = each;
    child.once('exit', (code, signal) => {
      if (each.child === child) each.child = null;
      this.record.add('process-ended', {name, code, signal});
    });
    this.record.add('process-started', {name, pid: child.pid});
  }

  settings({name, role, ip, zone, first}, data) {
    const seeds = this.members.slice(0, 3).map(m => `${m.ip}:${PORTS.control}`);
    const isMember = role === 'member';
    const listeners = isMember
      ? `controlPlane = "${ip}:${PORTS.control}"`
      : `frontendAddress = "${ip}:${PORTS.jobs}"
readinessAddress = "${ip}:${PORTS.readiness}"`;
    return `nodeName = "${name}"
role = "${role}"
ipAddress = "${ip}"
zone = "${zone}"
region = "region"
internalPortRange = [${PORTS.peers},${PORTS.peers + 15}]
seedNodes = ${JSON.stringify(seeds)}
bootstrap = ${first}
heartbeatIntervalMs = 1500
commandMode = "request"
${isMember ? `dataDirectory = "${data}"` : ''}
[listenAddresses]
${listeners}
[faultTolerance]
machines = 1
zones = 1
regions = 0
${BOUNDS}`;
  }

  async untilReady() {
    const until = performance.now() + START_TIMEOUT_MS;
    for (const {ip} of this.gateways) {
      for (;;) {
        const options = {timeoutMs: 500};
        const address = `${ip}:${PORTS.readiness}`;
        const path = '/v1/readiness';
        const answer = await call(address, 'GET', path, options);
        if (answer?.status === 200) break;
        if (performance.now() > until) throw new Error('no gateway is ready');
        await sleep(100);
      }
    }
  }

  /** Sends a configuration until a member acknowledges it. */
  async configure(body) {
    for (let turn = 0; turn < 40; turn++) {
      const address = this.controls[turn % this.controls.length];
      const options = {body, timeoutMs: 1_000};
      const path = '/v1/configuration';
      const answer = await call(address, 'PUT', path, options);
      const status = answer?.status ?? 'none';
      this.record.add('configured', {version: body.version, address, status});
      if (answer?.status === 200) return;
      await sleep(200);
    }
    throw new Error('no configuration is acknowledged');
  }

  /** The member that leads, by the address that heartbeats are sent to. */
  async leader() {
    const options = {timeoutMs: 1_000};
    const path = '/v1/instances/nobody';
    for (const address of this.controls) {
      const answer = await call(address, 'DELETE', path, options);
      const ip = answer?.body.heartbeatAddress?.split(':')[0];
      const found = this.members.find(member => member.ip === ip);
      if (found) return found;
    }
    throw new Error('no member leads');
  }

  signal(each, signal) {
    this.record.add('signal', {name: each.name, signal});
    each.child?.kill(signal);
  }

  killAll() {
    for (const {child} of this.processes) child?.kill('SIGKILL');
  }

  async close() {
    for (const {child} of this.processes) {
      if (!child || child.exitCode !== null) continue;
      const ended = once(child, 'exit');
      child.kill('SIGKILL');
      await ended;
    }
    if (!process.env.KEEP_LOGS) {
      rmSync(this.folder, {recursive: true, force: true});
    }
  }
}
