/** Calls owners over the peer network, or directly when they run here. */
import type {
  ExplainReply,
  JobRequest,
  OwnerReply,
  SubmitToOwner,
} from '@mustardferry/links';

import type {PeerNetwork} from '../peers/peer_network.js';
import {OwnerCaller} from './job_gateway.js';
import type {LocalOwners} from './local_owners.js';

/** Time beyond the caller's wait for the reply to travel. */
const REPLY_MARGIN_MS = 2_000;

/** Caller over links. */
export class PeerOwnerCaller extends OwnerCaller {
  constructor(
    private readonly self: string,
    private readonly local: LocalOwners,
    private readonly network: PeerNetwork,
  ) {
    super();
  }

  override submit(instance: string, req: SubmitToOwner): Promise<OwnerReply> {
    if (instance === this.self) return this.local.submit(req);
    return this.network.call(instance, req.waitMs + REPLY_MARGIN_MS, client =>
      client.submitJob.mutate(req),
    );
  }

  override get(instance: string, req: JobRequest): Promise<OwnerReply> {
    if (instance === this.self) return this.local.get(req);
    return this.network.call(instance, req.waitMs + REPLY_MARGIN_MS, client =>
      client.getJob.query(req),
    );
  }

  override cancel(instance: string, req: JobRequest): Promise<OwnerReply> {
    if (instance === this.self) return this.local.cancel(req);
    return this.network.call(instance, req.waitMs + REPLY_MARGIN_MS, client =>
      client.cancelJob.mutate(req),
    );
  }

  override explain(instance: string, req: JobRequest): Promise<ExplainReply> {
    if (instance === this.self) return this.local.explain(req);
    return this.network.call(instance, REPLY_MARGIN_MS, client =>
      client.explainJob.query(req),
    );
  }
}
