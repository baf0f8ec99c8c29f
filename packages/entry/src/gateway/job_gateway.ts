/** Takes callers' requests about jobs to the owner and back. */
import {randomBytes, randomInt} from 'node:crypto';

import {
  createIdempotencyKey,
  findHome,
  HomingError,
  parseJobId,
} from '@mustardferry/decisions';
import type {
  ExplainReply,
  JobRequest,
  OwnerReply,
  SubmitToOwner,
} from '@mustardferry/links';
import type {
  Home,
  InstanceSettings,
  Problem,
  Submission,
  SubmitJobRequest,
} from '@mustardferry/model';
import {dataCentresOf, must} from '@mustardferry/model';
import type {Logger} from '@mustardferry/runtime';

import {fail, problem} from '../http/problems.js';
import {BodyDepthError, computeBodyDigest} from '../jobs/body_digest.js';
import type {OwnerDirectory} from './owner_directory.js';

/** Calls one instance, this one included. */
export abstract class OwnerCaller {
  abstract submit(instance: string, req: SubmitToOwner): Promise<OwnerReply>;
  abstract get(instance: string, req: JobRequest): Promise<OwnerReply>;
  abstract cancel(instance: string, req: JobRequest): Promise<OwnerReply>;
  abstract explain(instance: string, req: JobRequest): Promise<ExplainReply>;
}

/** Options of the gateway. */
export interface JobGatewayOptions {
  readonly settings: InstanceSettings;
  readonly directory: OwnerDirectory;
  readonly caller: OwnerCaller;
  /** Whether a data centre is evacuated, as far as this instance knows. */
  readonly isEvacuated: (dataCentre: string) => boolean;
  readonly logger: Logger;
}

/** A submission with the headers that belong to it. */
export interface IncomingJob {
  readonly body: SubmitJobRequest;
  readonly idempotencyKey: string | undefined;
  readonly waitMs: number;
  readonly requestId: string;
}

const RETRY_MIN_MS = 20;
const RETRY_MAX_MS = 250;
/** How long an owner is searched for before the outcome is `unknown`. */
const SEARCH_MS = 5_000;

/** Limits of one search for an owner, in epoch milliseconds. */
interface Search {
  readonly waitUntilMs: number;
  giveUpAtMs: number;
}

type AnyReply = OwnerReply | ExplainReply;

/** Finds owners, retries while ownership moves, checks reply ids. */
export class JobGateway {
  private readonly dataCentres: readonly string[];

  constructor(private readonly options: JobGatewayOptions) {
    this.dataCentres = dataCentresOf(options.settings);
  }

  /** Submits a job; resubmissions of the same key are safe at any time. */
  async submit(incoming: IncomingJob): Promise<OwnerReply> {
    const {body, waitMs, requestId} = incoming;
    const receivedAtMs = Date.now();
    const idempotencyKey =
      incoming.idempotencyKey ??
      createIdempotencyKey(this.homeOfNewKey(), randomBytes(16));
    const submission: Submission = {...body, idempotencyKey};
    const home = this.homeOf(submission);
    const digest = this.digestOf(submission);
    const {jobId} = home;
    return this.untilOwned(home, waitMs, (instance, leftMs) =>
      this.options.caller.submit(instance, {
        jobId,
        requestId,
        submission,
        digest,
        waitMs: leftMs,
        ...(incoming.idempotencyKey === undefined
          ? {keyGeneratedAtMs: receivedAtMs}
          : {}),
      }),
    );
  }

  get(req: JobRequest): Promise<OwnerReply> {
    return this.untilOwned(this.parse(req.jobId), req.waitMs, (name, leftMs) =>
      this.options.caller.get(name, {...req, waitMs: leftMs}),
    );
  }

  cancel(req: JobRequest): Promise<OwnerReply> {
    return this.untilOwned(this.parse(req.jobId), req.waitMs, (name, leftMs) =>
      this.options.caller.cancel(name, {...req, waitMs: leftMs}),
    );
  }

  explain(req: JobRequest): Promise<ExplainReply> {
    return this.untilOwned<ExplainReply>(this.parse(req.jobId), 0, name =>
      this.options.caller.explain(name, req),
    );
  }

  /**
   * This data centre, or another one while it is evacuated. A given key keeps
   * its home, because an earlier submission may have been admitted there.
   */
  private homeOfNewKey(): string {
    const {settings, isEvacuated} = this.options;
    const {dataCentre} = settings;
    if (!isEvacuated(dataCentre)) return dataCentre;
    const others = this.dataCentres.filter(name => !isEvacuated(name));
    if (others.length === 0) return dataCentre;
    return must(others[randomInt(others.length)], 'index out of range');
  }

  private homeOf(submission: Submission): Home {
    try {
      const groups = this.options.settings.recordGroups;
      return findHome(submission, this.dataCentres, groups);
    } catch (err) {
      if (!(err instanceof HomingError)) throw err;
      return fail('invalid-body', `Idempotency-Key: ${err.message}`);
    }
  }

  private digestOf(submission: Submission): string {
    try {
      return computeBodyDigest(submission);
    } catch (err) {
      if (!(err instanceof BodyDepthError)) throw err;
      return fail('invalid-body', `tasks: ${err.message}.`);
    }
  }

  private parse(jobId: string): Home {
    const parsed = parseJobId(jobId);
    const known =
      parsed !== undefined &&
      this.dataCentres.includes(parsed.dataCentre) &&
      parsed.group < this.options.settings.recordGroups;
    if (!known) fail('job-not-found', `${jobId} is not a job id.`);
    return {dataCentre: parsed.dataCentre, group: parsed.group, jobId};
  }

  /**
   * Asks candidates until one is the owner. The search goes on over failovers,
   * so that a client sees a delay and not an error.
   */
  private async untilOwned<R extends AnyReply>(
    home: Home,
    waitMs: number,
    ask: (instance: string, leftMs: number) => Promise<R>,
  ): Promise<R> {
    const startedAtMs = Date.now();
    const search: Search = {
      waitUntilMs: startedAtMs + waitMs,
      giveUpAtMs: startedAtMs + SEARCH_MS,
    };
    let pauseMs = RETRY_MIN_MS;
    for (;;) {
      const reply = await this.askAll(home, search, ask);
      if (reply !== undefined) return reply;
      if (Date.now() >= search.giveUpAtMs) return this.gaveUp<R>(home);
      await new Promise(resolve => setTimeout(resolve, pauseMs));
      pauseMs = Math.min(pauseMs * 2, RETRY_MAX_MS);
    }
  }

  private async askAll<R extends AnyReply>(
    home: Home,
    search: Search,
    ask: (instance: string, leftMs: number) => Promise<R>,
  ): Promise<R | undefined> {
    const group = `${home.dataCentre}.${home.group}`;
    const {directory} = this.options;
    for (const instance of directory.candidates(home.dataCentre, group)) {
      const askedAtMs = Date.now();
      const leftMs = Math.max(0, search.waitUntilMs - askedAtMs);
      const reply = await this.askOne(home, instance, () =>
        ask(instance, leftMs),
      );
      if (reply !== undefined) return reply;
      // A wait that ended with its owner is the client's wait, not search.
      if (leftMs > 0) search.giveUpAtMs += Date.now() - askedAtMs;
      // Silent instances take a time limit each; a round of many is long.
      if (Date.now() >= search.giveUpAtMs) return undefined;
    }
    return undefined;
  }

  /** Undefined when the instance does not own the job or did not reply. */
  private async askOne<R extends AnyReply>(
    home: Home,
    instance: string,
    ask: () => Promise<R>,
  ): Promise<R | undefined> {
    const {directory, logger} = this.options;
    const group = `${home.dataCentre}.${home.group}`;
    const {jobId} = home;
    try {
      const reply = await ask();
      // A reply for another job must never reach this caller.
      if (reply.jobId !== jobId) {
        const got = reply.jobId;
        logger.error('reply-for-another-job', {instance, jobId, got});
        return undefined;
      }
      if (reply.type !== 'not-owner') return reply;
      directory.correct(group, reply.owner);
    } catch (err) {
      logger.debug('owner-not-reached', {instance, jobId, err});
      // Another instance may have named the owner since.
      if (directory.ownerOf(group) === instance) {
        directory.correct(group, undefined);
      }
    }
    return undefined;
  }

  private gaveUp<R extends AnyReply>(home: Home): R {
    const local = home.dataCentre === this.options.settings.dataCentre;
    const gave: Problem = problem(
      local ? 'owner-unknown' : 'home-unreachable',
      `No owner of ${home.dataCentre}.${home.group} was reached; an earlier ` +
        'attempt may have been admitted.',
      {jobId: home.jobId, retryAfterSeconds: 1},
    );
    return {type: 'problem', jobId: home.jobId, problem: gave} as R;
  }
}
