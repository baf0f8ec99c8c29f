/** A server over fakes, answered by `app.inject` without a socket. */
import type {
  ControlCommand,
  ControlResult,
  EvacuationRecord,
} from '@mustardferry/coordination';
import type {OwnerReply} from '@mustardferry/links';
import {EMPTY_POLICY, type InstanceSettings} from '@mustardferry/model';

import type {ControlService} from '../../src/control/control_service.js';
import type {IncomingJob, JobGateway} from '../../src/gateway/job_gateway.js';
import {AccessControl} from '../../src/http/access.js';
import {addEvacuationRoutes} from '../../src/http/evacuation_routes.js';
import {addHealthRoutes} from '../../src/http/health_routes.js';
import {createHttpServer} from '../../src/http/http_server.js';
import {addJobRoutes} from '../../src/http/job_routes.js';
import {addOperatorRoutes} from '../../src/http/operator_routes.js';
import {addUpstreamRoutes} from '../../src/http/upstream_routes.js';
import type {UpstreamService} from '../../src/upstreams/upstream_service.js';
import {JOB_ID, LOGGER, settings} from '../fixtures.js';

/** What the fakes were asked and how they answer. */
export class TestServer {
  refusal: 'not-ready' | 'draining' | undefined;
  drains = 0;
  /** Order in force for `dc1`; `dc3` is not defined in the control log. */
  evacuation: EvacuationRecord | undefined;
  open = 0;
  readonly jobs: IncomingJob[] = [];
  readonly waits: number[] = [];
  readonly commands: ControlCommand[] = [];
  readonly announced: unknown[] = [];
  reply: OwnerReply = {
    type: 'job',
    jobId: JOB_ID,
    view: {
      jobId: JOB_ID,
      team: 'coop',
      kind: 'posting',
      idempotencyKey: 'k',
      state: 'running',
      recordKeptUntilMs: 0,
    },
  };
  propose: (command: ControlCommand) => Promise<ControlResult> = async () => ({
    outcome: 'accepted',
    revision: 2,
  });
  readonly app;

  constructor(change: Partial<InstanceSettings> = {}) {
    const {limits, tokens} = settings(change);
    this.app = createHttpServer({limits, logger: LOGGER});
    // As an instance counts them, to know when it is idle.
    this.app.addHook('onRequest', async () => void this.open++);
    this.app.addHook('onResponse', async () => void this.open--);
    const access = new AccessControl(tokens);
    const refusal = () => this.refusal;
    const gateway = this.gateway();
    addJobRoutes(this.app, {gateway, access, limits, refusal});
    addHealthRoutes(this.app, {
      refusal: () =>
        this.refusal && {code: this.refusal, detail: 'for a reason'},
    });
    addUpstreamRoutes(this.app, {upstreams: this.upstreams(), access});
    addOperatorRoutes(this.app, {
      instance: 'e1',
      control: this.control(),
      access,
      shares: () => ({}) as never,
      upstreams: () => [],
      instances: () => [],
      drain: () => this.drains++,
    });
    this.addEvacuations(access);
  }

  private addEvacuations(access: AccessControl): void {
    const control = this.control();
    const dataCentres = ['dc1', 'dc2', 'dc3'];
    addEvacuationRoutes(this.app, {control, access, dataCentres});
  }

  private gateway(): JobGateway {
    const byId = async (req: {readonly waitMs: number}) => {
      this.waits.push(req.waitMs);
      return this.reply;
    };
    const fake = {
      submit: async (job: IncomingJob) => {
        this.jobs.push(job);
        return this.reply;
      },
      get: byId,
      cancel: byId,
      explain: byId,
    };
    return fake as unknown as JobGateway;
  }

  private control(): ControlService {
    const fake = {
      policy: EMPTY_POLICY,
      hasState: true,
      isCurrent: false,
      confirmedMsAgo: Infinity,
      state: {
        answers: () => undefined,
        evacuation: (name: string) =>
          name === 'dc1' ? this.evacuation : undefined,
        knowsDataCentre: (name: string) => name !== 'dc3',
      },
      auditPage: async () => undefined,
      propose: (command: ControlCommand) => {
        this.commands.push(command);
        return this.propose(command);
      },
    };
    return fake as unknown as ControlService;
  }

  private upstreams(): UpstreamService {
    const fake = {
      announce: (body: unknown) => {
        this.announced.push(body);
        return {accepted: true, renewAfterMs: 1_000};
      },
      leave: () => true,
      reportUsage: (body: unknown) => this.announced.push(body),
    };
    return fake as unknown as UpstreamService;
  }
}
