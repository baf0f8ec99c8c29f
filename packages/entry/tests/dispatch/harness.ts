/** Dispatcher with real components over links that the test answers. */
import {
  CreditLedger,
  ExpectedEndRouting,
  NoHedging,
  RetryBudget,
  RunTimeEstimator,
  WeightedFairSharing,
} from '@mustardferry/decisions';
import type {UpstreamLink} from '@mustardferry/links';
import {
  type StartTaskRequest,
  type TaskReply,
  type UpstreamAnnouncement,
  type UpstreamId,
  upstreamKey,
} from '@mustardferry/model';
import {NullMetrics} from '@mustardferry/runtime';
import prand from 'pure-rand';

import {Admission} from '../../src/dispatch/admission.js';
import {AttemptLauncher} from '../../src/dispatch/attempt_launcher.js';
import {Dispatcher} from '../../src/dispatch/dispatcher.js';
import {EvacuationMonitor} from '../../src/dispatch/evacuation_monitor.js';
import {LeaseRenewer} from '../../src/dispatch/lease_renewer.js';
import {OutcomePolicy} from '../../src/dispatch/outcome_policy.js';
import {UpstreamMonitor} from '../../src/dispatch/upstream_monitor.js';
import {UpstreamPool} from '../../src/upstreams/upstream_pool.js';
import {LOGGER, POLICY, upstream} from '../fixtures.js';

/** A message to an upstream, with callbacks to answer it. */
export interface Sent {
  readonly call: 'start' | 'query' | 'stop';
  readonly upstream: string;
  readonly req: Pick<StartTaskRequest, 'taskId' | 'attempt' | 'incarnation'>;
  readonly answer: (state: object, incarnation?: number) => void;
  readonly fail: (err: Error) => void;
}

/** Pool whose links record each message in `sent`. */
class FakePool extends UpstreamPool {
  readonly sent: Sent[] = [];

  override getLink(id: UpstreamId): UpstreamLink {
    const call = (name: Sent['call']) => (req: Sent['req']) =>
      this.send(name, upstreamKey(id), req);
    const link = {
      name: id.address,
      start: call('start'),
      query: call('query'),
      stop: call('stop'),
      renew: async () => ({incarnation: id.incarnation, notRunning: []}),
    };
    return link as unknown as UpstreamLink;
  }

  private send(
    call: Sent['call'],
    key: string,
    req: Sent['req'],
  ): Promise<TaskReply> {
    return new Promise((resolve, reject) => {
      const answer = (state: object, incarnation = req.incarnation): void => {
        const {taskId, attempt} = req;
        resolve({taskId, attempt, incarnation, ...state} as TaskReply);
      };
      this.sent.push({call, upstream: key, req, answer, fail: reject});
    });
  }
}

/** The dispatcher and the components that tests inspect. */
export class Harness {
  /** Teams of the refused jobs. */
  readonly refusedTeams: string[] = [];
  readonly pool = new FakePool({
    token: undefined,
    dataCentre: 'dc1',
    instancesInDataCentre: 1,
  });
  readonly ledger = new CreditLedger();
  readonly sharing = new WeightedFairSharing();
  readonly budget = new RetryBudget();
  readonly estimator = new RunTimeEstimator();
  readonly monitor: UpstreamMonitor;
  readonly outcomes: OutcomePolicy;
  readonly dispatcher: Dispatcher;
  private readonly evacuations = new EvacuationMonitor({
    pool: this.pool,
    logger: LOGGER,
    onReadmitted: upstream => this.monitor.readmit(upstream),
    onChange: () => this.dispatcher.recheckQueuedTasks(),
  });
  private readonly renewer = new LeaseRenewer(3_000, LOGGER);

  constructor(upstreams: readonly UpstreamAnnouncement[] = [upstream()]) {
    const {pool, sharing, budget, estimator, renewer} = this;
    const metrics = new NullMetrics();
    const common = {pool, sharing, budget, estimator, metrics, logger: LOGGER};
    const requestDispatch = (): void => this.dispatcher.requestDispatch();
    this.monitor = new UpstreamMonitor({
      ...common,
      onUpstreamAvailable: requestDispatch,
    });
    const parts = {...common, monitor: this.monitor};
    const rng = prand.xoroshiro128plus(1);
    this.outcomes = new OutcomePolicy({...parts, rng});
    this.dispatcher = new Dispatcher({
      ...parts,
      routing: new ExpectedEndRouting(estimator),
      hedging: new NoHedging(),
      launcher: new AttemptLauncher({
        ...parts,
        renewer,
        instance: 'e1',
        leaseMs: 3_000,
      }),
      credits: this.ledger,
      admission: new Admission({
        ...parts,
        maxQueuedTasks: 1_000,
        unknownUpstreamWaitMs: 1_000,
        onRefused: team => this.refusedTeams.push(team),
      }),
      outcomes: this.outcomes,
    });
    sharing.setPolicy(POLICY);
    budget.setPolicy(POLICY);
    for (const announcement of upstreams) this.add(announcement);
  }

  add(announcement: UpstreamAnnouncement): void {
    const key = upstreamKey(announcement);
    const {slots} = announcement.capacity;
    this.pool.add(announcement);
    this.monitor.add(key, slots);
    this.ledger.granted(key, slots);
    this.pool.candidates.setCredits(key, slots);
    this.sharing.setCapacity(announcement.capacity);
    this.dispatcher.requestDispatch();
  }

  sent(call: Sent['call']): readonly Sent[] {
    return this.pool.sent.filter(message => message.call === call);
  }

  /** Replaces the evacuated data centres. */
  evacuate(...dataCentres: readonly string[]): void {
    this.evacuations.setEvacuated(dataCentres);
  }

  close(): void {
    this.dispatcher.close();
    this.monitor.close();
    this.renewer.close();
  }
}
