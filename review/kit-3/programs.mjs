/** Starts the product's programs with the commands of the deploy file. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream, readFileSync} from 'node:fs';
import {mkdir, rm, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {URL} from 'node:url';

export const ROOT = new URL('../..', import.meta.url).pathname;

export const PORTS = {
  peers: 7_720,
  control: 8_166,
  jobs: 8_161,
  readiness: 8_167,
};

/** Words of the `run` line of a role. */
function commandOf(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const [, run] = /^run = "(.*)"$/m.exec(section) ?? [];
  if (!run) throw new Error(`no command for ${role}`);
  return run.split(' ');
}

/** One machine of the system over all its processes. */
export class Program {
  constructor({name, role, ip, zone, seeds, folder, bounds, machines = 1}) {
    Object.assign(this, {
      name,
      role,
      ip,
      zone,
      seeds,
      folder,
      bounds,
      machines,
    });
    this.child = null;
    this.bootstrap = true;
  }

  async start() {
    const settings = join(this.folder, `${this.name}.toml`);
    await mkdir(this.dataFolder, {recursive: true});
    await writeFile(settings, this.settings());
    this.bootstrap = false;
    const [command, ...args] = commandOf(this.role);
    const log = createWriteStream(join(this.folder, `${this.name}.log`), {
      flags: 'a',
    });
    const {PATH, HOME, LANG} = process.env;
    this.child = spawn(command, args, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, MUSTARDFERRY_CONFIG: settings},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child.stdout.pipe(log, {end: false});
    this.child.stderr.pipe(log, {end: false});
  }

  /** Sends a signal to the process, if it runs. */
  signal(name) {
    if (this.isUp) this.child.kill(name);
  }

  get isUp() {
    const {child} = this;
    return child !== null && child.exitCode === null && !child.signalCode;
  }

  /** Kills the process; `wipe` also takes its disk. */
  async kill({wipe = false} = {}) {
    if (this.isUp) {
      const exited = once(this.child, 'exit');
      this.child.kill('SIGKILL');
      await exited;
    }
    if (wipe) await rm(this.dataFolder, {recursive: true, force: true});
  }

  get dataFolder() {
    return join(this.folder, `${this.name}.data`);
  }

  settings() {
    const {name, role, ip, zone, seeds, bounds, machines} = this;
    const isMember = role === 'member';
    const listen = isMember
      ? `controlPlane = "${ip}:${PORTS.control}"`
      : `frontendAddress = "${ip}:${PORTS.jobs}"
readinessAddress = "${ip}:${PORTS.readiness}"`;
    return `nodeName = "${name}"
role = "${role}"
machineClass = "${isMember ? 'core' : 'frontend'}"
serves = ["${isMember ? 'control_plane' : 'frontend'}"]
ipAddress = "${ip}"
zone = "${zone}"
region = "r"
internalPortRange = [${PORTS.peers},${PORTS.peers + 15}]
seedNodes = [${seeds.map(seed => `"${seed}:${PORTS.control}"`).join()}]
bootstrap = ${this.bootstrap}
faultCounted = ${isMember}
discovery = "registration"
entryPoint = "virtual_ip"
heartbeatIntervalMs = 1500
config_mode = "highest"
commandMode = "request"
${isMember ? `dataDirectory = "${this.dataFolder}"` : ''}
[zones]
a = "r"
b = "r"
c = "r"
[listenAddresses]
${listen}
[faultTolerance]
machines = ${machines}
zones = 1
regions = 0
[bounds]
${Object.entries(bounds)
  .map(([key, value]) => `${key} = ${value}`)
  .join('\n')}
`;
  }
}
