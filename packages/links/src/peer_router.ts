/** The tRPC router that entry instances serve to one another. */
import type {UpstreamPeerMessage} from '@mustardferry/coordination';
import {initTRPC} from '@trpc/server';

import {PEER_TRANSFORMER} from './peer_encoder.js';
import type {
  ControlFetch,
  InstanceStatus,
  JobRequest,
  PeerIdentity,
  PeerService,
  SlotReport,
  SubmitToOwner,
} from './peer_messages.js';

/** Context of each call. */
export interface PeerContext {
  readonly service: PeerService;
  /** Tells who is at the other end; an older connection of it is ended. */
  readonly claim: (peer: string) => void;
  /** Bytes that the connection has not sent yet. */
  readonly unsentBytes: () => number;
}

const t = initTRPC.context<PeerContext>().create({
  transformer: PEER_TRANSFORMER,
});

/**
 * Accepts an input as typed. Peers run the same program and hold the instance
 * token, so a schema check of each log message would only cost time.
 */
function typed<T>(): (input: unknown) => T {
  return input => input as T;
}

/** Procedures between entry instances. */
export const peerRouter = t.router({
  hello: t.procedure
    .input(typed<InstanceStatus>())
    .mutation(({ctx, input}) => ctx.service.hello(input)),
  /**
   * Log messages for the caller. A stream carries them because the client
   * delays each call by a timer and each call costs a reply.
   */
  logStream: t.procedure
    .input(typed<PeerIdentity>())
    .subscription(({ctx, input, signal}) => {
      ctx.claim(input.name);
      const connection = {
        signal: signal ?? new AbortController().signal,
        unsentBytes: ctx.unsentBytes,
      };
      return ctx.service.logStream(input, connection).frames();
    }),
  submitJob: t.procedure
    .input(typed<SubmitToOwner>())
    .mutation(({ctx, input}) => ctx.service.submitJob(input)),
  getJob: t.procedure
    .input(typed<JobRequest>())
    .query(({ctx, input}) => ctx.service.getJob(input)),
  cancelJob: t.procedure
    .input(typed<JobRequest>())
    .mutation(({ctx, input}) => ctx.service.cancelJob(input)),
  explainJob: t.procedure
    .input(typed<JobRequest>())
    .query(({ctx, input}) => ctx.service.explainJob(input)),
  upstreamMessage: t.procedure
    .input(typed<UpstreamPeerMessage>())
    .mutation(({ctx, input}) => ctx.service.upstreamMessage(input)),
  slotReport: t.procedure
    .input(typed<SlotReport>())
    .mutation(({ctx, input}) => ctx.service.slotReport(input)),
  proposeControl: t.procedure
    .input(typed<{readonly command: unknown}>())
    .mutation(({ctx, input}) => ctx.service.proposeControl(input.command)),
  fetchControl: t.procedure
    .input(typed<ControlFetch>())
    .query(({ctx, input}) => ctx.service.fetchControl(input)),
});

/** Type of the router, for clients. */
export type PeerRouter = typeof peerRouter;
