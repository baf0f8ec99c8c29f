/** A deployment under test: entry instances, relay and stand-in workers. */
import {mkdir, rm, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

import {must, MustardferryError, type PolicyNames} from '@mustardferry/model';
import {LifecycleManager} from '@mustardferry/runtime';

import {MIX_KINDS, type User} from '../load/mixes.js';
import type {TraceWorker} from '../load/trace.js';
import type {LinkCount, RelayFault} from '../relay/relay.js';
import type {
  StandInWorkerOptions,
  WorkerFault,
} from '../workers/stand_in_worker.js';
import type {WorkerRecords} from '../workers/worker_record.js';
import {loadAnswers} from './answers_files.js';
import {EntryProcess} from './entry_process.js';
import {freePorts} from './free_ports.js';
import {
  addressesFrom,
  CLIENTS,
  type InstancePlan,
  type LayoutOptions,
  planInstances,
  planLinks,
  settingsText,
} from './layout.js';
import {applyAnswers} from './operator.js';
import {RoleProcess} from './role_process.js';

/** The deployment did not reach a usable state. */
export class ClusterError extends MustardferryError {
  readonly code = 'cluster';
}

/** Options of a deployment. */
export interface ClusterOptions extends LayoutOptions {
  /** Settings, data folders and logs go here. */
  readonly folder: string;
  readonly workers: readonly TraceWorker[];
  /** Whose answers are applied. */
  readonly users: readonly User[];
  /** Part of the capacity that they share out; all of it by default. */
  readonly sharedPart?: number;
  readonly policies: PolicyNames;
  readonly logLevel?: string;
}

const READY_TIMEOUT_MS = 20_000;
const ANNOUNCE_TIMEOUT_MS = 10_000;
const MAX_CONNECTIONS = 60;
/** Workers of the scheduler; they hold every mix of both users' tasks. */
const PROCESSORS = 64;
const MEMORY_MB = 131_072;

/** Starts the parts in order and ends them in reverse order. */
export class Cluster {
  readonly entries: EntryProcess[] = [];
  private readonly life = new LifecycleManager('cluster');
  private readonly relay: RoleProcess;
  private readonly fleet: RoleProcess;
  private plans: readonly InstancePlan[] = [];
  /** Addresses of the instances as a place reaches them. */
  private addressesIn: (place: string) => readonly string[] = () => [];
  private workerCount = 0;
  private closing = false;
  /** Addresses of the instances as the clients reach them. */
  clientAddresses: readonly string[] = [];

  constructor(private readonly options: ClusterOptions) {
    this.relay = this.role('relay/relay_process.ts');
    this.fleet = this.role('workers/workers_process.ts');
  }

  /** Starts a helper process that ends together with the cluster. */
  role(file: string): RoleProcess {
    const role = new RoleProcess(file);
    this.life.defer(file, () => role.close());
    return role;
  }

  /** Starts everything, applies both users' answers, waits for the workers. */
  async start(): Promise<void> {
    await this.startEntries();
    await this.populate();
  }

  /** Starts the workers and applies the answers. */
  async populate(): Promise<void> {
    await this.addWorkers(this.options.workers);
    const {users, sharedPart} = this.options;
    const addresses = this.plans.map(plan => plan.listen);
    for (const {team, text} of loadAnswers(users, sharedPart)) {
      await applyAnswers(addresses, team, text, READY_TIMEOUT_MS);
    }
  }

  /** Starts more workers and waits until all are announced. */
  async addWorkers(workers: readonly TraceWorker[]): Promise<void> {
    const options = workers.map((worker, index) =>
      this.workerOptions(worker, index),
    );
    await this.fleet.call('start', options);
    this.workerCount += workers.length;
    await this.waitForWorkers();
  }

  /** Starts the relay and the entry instances and waits until all are ready. */
  async startEntries(): Promise<void> {
    const {options} = this;
    await mkdir(options.folder, {recursive: true});
    const ports = await freePorts(options.instances);
    const plans = planInstances(options, ports);
    const links = planLinks(options, plans);
    const relayPorts = await this.relay.call<number[]>('open', links);
    this.plans = plans;
    this.addressesIn = place => addressesFrom(place, plans, links, relayPorts);
    this.clientAddresses = this.addressesIn(CLIENTS);
    for (const self of plans) {
      await this.startEntry(self, this.addressesIn(self.dataCentre));
    }
    await Promise.all(this.entries.map(e => e.ready(READY_TIMEOUT_MS)));
  }

  get instances(): readonly InstancePlan[] {
    return this.plans;
  }

  /** Finds an instance by name. */
  entry(name: string): EntryProcess {
    return must(
      this.entries.find(each => each.options.name === name),
      `no instance ${name}`,
    );
  }

  async injectWorker(worker: string, fault: WorkerFault): Promise<void> {
    await this.fleet.call('inject', {worker, fault});
  }

  async injectRelay(fault: RelayFault): Promise<void> {
    await this.relay.call('inject', fault);
  }

  linkCounts(): Promise<LinkCount[]> {
    return this.relay.call('counts');
  }

  records(): Promise<WorkerRecords> {
    return this.fleet.call('records');
  }

  close(): Promise<void> {
    this.closing = true;
    return this.life.close();
  }

  private async startEntry(
    self: InstancePlan,
    addresses: readonly string[],
  ): Promise<void> {
    const {folder, policies, logLevel} = this.options;
    const settingsFile = join(folder, `${self.name}.ini`);
    const dataFolder = join(folder, `${self.name}-data`);
    const logFile = join(folder, `${self.name}.log`);
    // State of an earlier run would answer this run's keys.
    await rm(dataFolder, {recursive: true, force: true});
    await rm(logFile, {force: true});
    if (self.disk) await mkdir(dataFolder, {recursive: true});
    const text = settingsText({
      self,
      instances: this.plans,
      addresses,
      dataFolder,
      policies,
      logLevel: logLevel ?? 'warn',
    });
    await writeFile(settingsFile, text);
    const entry = new EntryProcess({
      name: self.name,
      listen: self.listen,
      settingsFile,
      logFile,
    });
    this.entries.push(entry);
    this.life.defer(self.name, () => entry.retire());
    // Nothing owned after the clean-up began would ever be ended.
    if (this.closing) throw new ClusterError('closed while it started');
    entry.start();
  }

  private workerOptions(
    worker: TraceWorker,
    index: number,
  ): StandInWorkerOptions {
    const {dataCentre} = worker;
    return {
      worker: worker.worker,
      dataCentre,
      rack: worker.rack,
      speed: worker.speed,
      capacity: {
        slots: worker.slots,
        processors: PROCESSORS,
        memoryMb: MEMORY_MB,
        accelerators: 0,
      },
      maxConnections: MAX_CONNECTIONS,
      kinds: MIX_KINDS.map(kind => kind.kind),
      renewals: {
        homes: this.addressesIn(dataCentre).filter(
          (_, i) => this.plans[i]?.dataCentre === dataCentre,
        ),
        first: Math.floor(index / this.options.dataCentres.length),
        token: '',
        periodMs: 1_000,
        usageLagMs: 500,
      },
    };
  }

  private async waitForWorkers(): Promise<void> {
    const deadline = performance.now() + ANNOUNCE_TIMEOUT_MS;
    const wanted = this.workerCount;
    for (;;) {
      const announced = await this.fleet.call<number>('announced');
      if (announced === wanted) return;
      if (performance.now() > deadline) {
        throw new ClusterError(`${announced} of ${wanted} workers announced`);
      }
      await sleep(100);
    }
  }
}
