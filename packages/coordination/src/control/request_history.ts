/** Results of operator requests, so that a resent request changes nothing. */
import {createHash} from 'node:crypto';

import {assertNever} from '@mustardferry/model';

import type {
  AcceptAnswersCommand,
  ControlResult,
  FirstControlResult,
  SetDrainingCommand,
  SetEvacuatedCommand,
} from './control_messages.js';

/**
 * Maximum number of requests remembered, which covers about 11 hours at 21,000
 * changes a day. Answers resent after that still conflict by their base
 * revision.
 */
export const MAX_REMEMBERED_REQUESTS = 10_000;

/** Commands that carry a request id. */
export type OperatorCommand =
  AcceptAnswersCommand | SetDrainingCommand | SetEvacuatedCommand;

/** A remembered request, also stored in snapshots. */
export interface RememberedRequest {
  readonly requestId: string;
  /** Digest of the request without its id and time. */
  readonly digest: string;
  readonly first: FirstControlResult;
}

function listContent(command: OperatorCommand): readonly unknown[] {
  switch (command.type) {
    case 'accept-answers': {
      const {type, operator, team, text, baseRevision} = command;
      return [type, operator, team, text, baseRevision];
    }
    case 'set-draining': {
      const {type, operator, instance, draining} = command;
      return [type, operator, instance, draining];
    }
    case 'set-evacuated': {
      // Without the base revision: an instance may derive it from its state,
      // which differs when the request is sent again.
      const {type, operator, dataCentre, evacuated} = command;
      return [type, operator, dataCentre, evacuated];
    }
    default:
      return assertNever(command);
  }
}

function computeDigest(command: OperatorCommand): string {
  return createHash('sha256')
    .update(JSON.stringify(listContent(command)))
    .digest('base64url');
}

/** Remembers the first results of the newest requests. */
export class RequestHistory {
  private readonly requests: Map<string, RememberedRequest>;
  /**
   * Request ids in order of arrival, used as a ring buffer once full. Finding
   * the oldest key in the map would iterate over all keys deleted before it.
   */
  private readonly order: string[];
  private oldestIndex = 0;

  constructor(from: readonly RememberedRequest[] = []) {
    this.requests = new Map(from.map(each => [each.requestId, each]));
    this.order = [...this.requests.keys()];
  }

  /** Returns the result for a known request id, or undefined. */
  findResult(command: OperatorCommand): ControlResult | undefined {
    const known = this.requests.get(command.requestId);
    if (known === undefined) return undefined;
    if (known.digest === computeDigest(command)) {
      return {outcome: 'repeated', first: known.first};
    }
    return {
      outcome: 'invalid',
      code: 'request-id-reused',
      detail: `request id ${command.requestId} belongs to another request`,
    };
  }

  storeResult(command: OperatorCommand, first: FirstControlResult): void {
    const {requestId} = command;
    this.requests.set(requestId, {
      requestId,
      digest: computeDigest(command),
      first,
    });
    if (this.order.length < MAX_REMEMBERED_REQUESTS) {
      this.order.push(requestId);
      return;
    }
    this.requests.delete(this.order[this.oldestIndex] ?? '');
    this.order[this.oldestIndex] = requestId;
    this.oldestIndex = (this.oldestIndex + 1) % MAX_REMEMBERED_REQUESTS;
  }

  snapshot(): readonly RememberedRequest[] {
    return [...this.requests.values()];
  }
}
