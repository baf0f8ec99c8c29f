import type {
  ExplainReply,
  JobRequest,
  OwnerReply,
  SubmitToOwner,
} from '@mustardferry/links';
import {type Clock, install} from '@sinonjs/fake-timers';
import {expect} from 'chai';

import {JobGateway, OwnerCaller} from '../../src/gateway/job_gateway.js';
import {OwnerDirectory} from '../../src/gateway/owner_directory.js';
import {ProblemError} from '../../src/http/problems.js';
import {LOGGER, settings} from '../fixtures.js';

type Handler = (instance: string, jobId: string) => Promise<OwnerReply>;

/** Caller whose instances answer as the test says. */
class FakeCaller extends OwnerCaller {
  readonly asked: string[] = [];
  readonly submitted: SubmitToOwner[] = [];
  handler: Handler = async (_instance, jobId) => answered(jobId);

  override submit(instance: string, req: SubmitToOwner): Promise<OwnerReply> {
    this.submitted.push(req);
    return this.ask(instance, req);
  }

  override get(instance: string, req: JobRequest): Promise<OwnerReply> {
    return this.ask(instance, req);
  }

  override cancel(instance: string, req: JobRequest): Promise<OwnerReply> {
    return this.ask(instance, req);
  }

  override async explain(
    instance: string,
    req: JobRequest,
  ): Promise<ExplainReply> {
    const reply = await this.ask(instance, req);
    if (reply.type !== 'job') return reply;
    return {type: 'steps', jobId: reply.jobId, steps: []};
  }

  private ask(instance: string, req: {readonly jobId: string}) {
    this.asked.push(instance);
    return this.handler(instance, req.jobId);
  }
}

function answered(jobId: string): OwnerReply {
  const view = {
    jobId,
    team: 'coop',
    kind: 'posting',
    idempotencyKey: 'k',
    state: 'complete' as const,
    results: [],
    recordKeptUntilMs: 0,
  };
  return {type: 'job', jobId, view};
}

function notOwner(jobId: string, owner?: string): OwnerReply {
  return {type: 'not-owner', jobId, owner};
}

const BODY = {
  team: 'coop',
  kind: 'posting',
  tasks: [{id: 't', payload: 1 as unknown}],
};
const ID = `dc1.0.${'a'.repeat(22)}`;

describe('JobGateway', () => {
  let clock: Clock;
  let caller: FakeCaller;
  let directory: OwnerDirectory;
  let gateway: JobGateway;
  let evacuated: readonly string[] = [];
  beforeEach(() => {
    clock = install({now: 1_000});
    caller = new FakeCaller();
    evacuated = [];
    directory = new OwnerDirectory(settings().instances);
    gateway = new JobGateway({
      settings: settings(),
      directory,
      caller,
      isEvacuated: name => evacuated.includes(name),
      logger: LOGGER,
    });
  });
  afterEach(() => clock.uninstall());

  const submit = (idempotencyKey?: string, waitMs = 0) =>
    gateway.submit({body: BODY, idempotencyKey, waitMs, requestId: 'r'});
  const codeOf = (reply: {readonly type: string}): string =>
    'problem' in reply ? (reply as {problem: {code: string}}).problem.code : '';

  const homes = [
    {evacuations: [], key: undefined, home: 'dc1'},
    {evacuations: ['dc1'], key: undefined, home: 'dc2'},
    {evacuations: ['dc2'], key: undefined, home: 'dc1'},
    {evacuations: ['dc1', 'dc2'], key: undefined, home: 'dc1'},
    // An earlier submission under the key may have been admitted there.
    {evacuations: ['dc1'], key: 'dc:dc1:k', home: 'dc1'},
  ];
  for (const {evacuations, key, home} of homes) {
    it(`finds a home where tasks start, but never moves a given key: ${key ?? 'none'}, evacuated ${evacuations.join()}`, async () => {
      evacuated = evacuations;
      const {jobId} = await submit(key);
      expect(jobId).to.match(new RegExp(`^${home}\\.`));
    });
  }

  it('never passes on a reply for another job', async () => {
    caller.handler = async (instance, jobId) =>
      answered(instance === 'e3' ? jobId : `${jobId}x`);
    const reply = await submit('dc:dc1:k');
    expect(reply.jobId).to.equal(caller.submitted[0]?.jobId);
    expect(caller.asked).to.deep.equal(['e1', 'e2', 'e3']);
  });

  const requests = {
    submit: () => submit('dc:dc1:k'),
    get: () => gateway.get({jobId: ID, requestId: 'r', waitMs: 0}),
    cancel: () => gateway.cancel({jobId: ID, requestId: 'r', waitMs: 0}),
    explain: () => gateway.explain({jobId: ID, requestId: 'r', waitMs: 0}),
  };
  for (const [name, run] of Object.entries(requests)) {
    it(`answers unknown to ${name}, never not-run, without an owner`, async () => {
      caller.handler = async () => Promise.reject(new Error('unreachable'));
      const reply = run();
      await clock.tickAsync(6_000);
      expect(await reply).to.deep.nested.include({
        type: 'problem',
        'problem.code': 'owner-unknown',
        'problem.outcome': 'unknown',
        'problem.retryAfterSeconds': 1,
      });
    });

    it(`does not give up ${name} while the owner moves`, async () => {
      caller.handler = async (_instance, jobId) =>
        Date.now() < 3_000 ? notOwner(jobId, 'e2') : answered(jobId);
      const reply = run();
      await clock.tickAsync(3_000);
      expect((await reply).type).not.to.equal('problem');
      expect(directory.ownerOf(ID.slice(0, 5)) ?? 'e2').to.equal('e2');
    });
  }

  it('asks no other data centre, and answers unknown for an unreachable home', async () => {
    caller.handler = async () => Promise.reject(new Error('partitioned'));
    const reply = submit('dc:dc2:k');
    await clock.tickAsync(6_000);
    expect(codeOf(await reply)).to.equal('home-unreachable');
    expect([...new Set(caller.asked)]).to.deep.equal(['f1']);
  });

  it('does not search for ever when calls time out one after the other', async () => {
    // As long as a call over the peer network waits for a silent instance.
    caller.handler = () =>
      new Promise((_resolve, reject) => {
        setTimeout(() => reject(new Error('timeout')), 2_000);
      });
    const reply = submit('dc:dc1:k');
    let code: string | undefined;
    void reply.then(value => (code = codeOf(value)));
    await clock.tickAsync(60_000);
    expect(code).to.equal('owner-unknown');
  });

  it('goes on after a wait that ended with its owner', async () => {
    let waited = false;
    caller.handler = async (instance, jobId) => {
      if (waited) return instance === 'e2' ? answered(jobId) : notOwner(jobId);
      waited = true;
      await new Promise(resolve => setTimeout(resolve, 20_000));
      throw new Error('connection broke');
    };
    const reply = submit('dc:dc1:k', 30_000);
    await clock.tickAsync(25_000);
    expect((await reply).type).to.equal('job');
    expect(caller.submitted.at(-1)?.waitMs).to.be.at.most(10_000);
  });

  it('follows a hint although another instance is silent', async () => {
    directory.learn('e1', ['dc1.0', 'dc1.1']);
    caller.handler = async (instance, jobId) => {
      if (instance === 'e1') return notOwner(jobId, 'e3');
      if (instance === 'e3') return answered(jobId);
      throw new Error('unreachable');
    };
    await submit('dc:dc1:k');
    const {jobId} = caller.submitted[0] ?? {jobId: ''};
    expect(directory.ownerOf(jobId.slice(0, 5))).to.equal('e3');
  });

  it('homes generated keys locally and never repeats one', async () => {
    const ids = new Set<string>();
    for (let i = 0; i < 20; i++) ids.add((await submit()).jobId);
    expect(ids).to.have.property('size', 20);
    expect([...ids].every(id => id.startsWith('dc1.'))).to.equal(true);
    const [first] = caller.submitted;
    expect(first?.keyGeneratedAtMs).to.equal(1_000);
    await submit('client-key');
    expect(caller.submitted.at(-1)).not.to.have.property('keyGeneratedAtMs');
  });

  it('sends a key to the data centre that it names, whatever its hash', async () => {
    for (const dataCentre of ['dc1', 'dc2']) {
      const reply = await submit(`dc:${dataCentre}:k`);
      expect(reply.jobId.startsWith(`${dataCentre}.`)).to.equal(true);
    }
  });

  const deep = JSON.parse('['.repeat(9_999) + ']'.repeat(9_999)) as unknown;
  const refused = [
    {name: 'a key of an unknown data centre', key: 'dc:mars:k', payload: 1},
    {name: 'a payload nested too deeply', key: 'k', payload: deep},
  ];
  for (const {name, key, payload} of refused) {
    it(`asks no instance about ${name}`, async () => {
      const body = {...BODY, tasks: [{id: 't', payload}]};
      const err: unknown = await gateway
        .submit({body, idempotencyKey: key, waitMs: 0, requestId: 'r'})
        .catch((cause: unknown) => cause);
      expect(err).to.be.instanceOf(ProblemError);
      expect(err).to.nested.include({'problem.code': 'invalid-body'});
      expect(caller.asked).to.have.length(0);
    });
  }

  const hash = 'a'.repeat(22);
  const malformed = [
    '',
    'x',
    `dc1.${hash}`,
    `dc1.2.${hash}`,
    `dc1.00.${hash}`,
    `dc1.-1.${hash}`,
    `mars.0.${hash}`,
    `dc1.0.${hash}a`,
    `dc1.0.${'/'.repeat(22)}`,
  ];
  for (const jobId of malformed) {
    it(`asks no instance about the job id "${jobId}"`, () => {
      expect(() => gateway.get({jobId, requestId: 'r', waitMs: 0})).to.throw(
        'job-not-found',
      );
      expect(caller.asked).to.have.length(0);
    });
  }
});
