/** What an instance answers to its peers. */
import type {
  ControlCommand,
  ReceiveResult,
  UpstreamPeerMessage,
} from '@mustardferry/coordination';
import {
  type ControlFetch,
  type ControlFetchReply,
  type ControlReply,
  type ExplainReply,
  type InstanceStatus,
  type JobRequest,
  type LogOutbox,
  type OwnerReply,
  type PeerIdentity,
  PeerService,
  type SlotReply,
  type SlotReport,
  type StreamConnection,
  type SubmitToOwner,
} from '@mustardferry/links';

import type {ControlService} from '../control/control_service.js';
import type {LocalOwners} from '../gateway/local_owners.js';
import type {SlotService} from '../slots/slot_service.js';
import type {UpstreamService} from '../upstreams/upstream_service.js';
import type {PeerNetwork} from './peer_network.js';

/** Parts that the service passes calls on to. */
export interface InstancePeerParts {
  readonly status: () => InstanceStatus;
  readonly network: PeerNetwork;
  readonly control: ControlService;
  readonly owners: LocalOwners;
  readonly upstreams: UpstreamService;
  readonly slots: SlotService;
}

/** Passes peer calls to the parts of the instance. */
export class InstancePeerService extends PeerService {
  constructor(private readonly parts: InstancePeerParts) {
    super();
  }

  override hello(status: InstanceStatus): InstanceStatus {
    this.parts.network.noteStatus(status);
    return this.parts.status();
  }

  override logStream(
    to: PeerIdentity,
    connection: StreamConnection,
  ): LogOutbox {
    return this.parts.network.openStream(to, connection);
  }

  override submitJob(req: SubmitToOwner): Promise<OwnerReply> {
    return this.parts.owners.submit(req);
  }

  override getJob(req: JobRequest): Promise<OwnerReply> {
    return this.parts.owners.get(req);
  }

  override cancelJob(req: JobRequest): Promise<OwnerReply> {
    return this.parts.owners.cancel(req);
  }

  override explainJob(req: JobRequest): Promise<ExplainReply> {
    return this.parts.owners.explain(req);
  }

  override upstreamMessage(message: UpstreamPeerMessage): ReceiveResult {
    return this.parts.upstreams.receiveMessage(message);
  }

  override slotReport(report: SlotReport): SlotReply | undefined {
    return this.parts.slots.handleReport(report);
  }

  override proposeControl(command: unknown): Promise<ControlReply> {
    return this.parts.control.proposeHere(command as ControlCommand);
  }

  override async fetchControl(req: ControlFetch): Promise<ControlFetchReply> {
    const page = await this.parts.control.fetch(req);
    return {page, confirmedMsAgo: page.confirmedMsAgo};
  }
}
