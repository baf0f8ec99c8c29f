/** First results of operator requests, so that a resend changes nothing. */
import {createHash} from 'node:crypto';

import type {
  AcceptAnswersCommand,
  ControlResult,
  FirstControlResult,
  SetDrainingCommand,
} from './control_messages.js';

/**
 * Most request ids remembered; about 11 hours at 21,000 changes a day. A
 * forgotten resend of answers still conflicts by its base revision.
 */
export const MAX_REMEMBERED_REQUESTS = 10_000;

/** Commands that carry a request id. */
export type OperatorCommand = AcceptAnswersCommand | SetDrainingCommand;

/** A remembered request in a snapshot. */
export interface RememberedRequest {
  readonly requestId: string;
  /** Digest of the request without its time. */
  readonly digest: string;
  readonly first: FirstControlResult;
}

function digestOf(command: OperatorCommand): string {
  const content =
    command.type === 'accept-answers'
      ? [
          command.type,
          command.operator,
          command.team,
          command.text,
          command.baseRevision,
        ]
      : [command.type, command.operator, command.instance, command.draining];
  return createHash('sha256')
    .update(JSON.stringify(content))
    .digest('base64url');
}

/** Remembers first results in order of arrival, bounded. */
export class RequestMemory {
  private readonly requests: Map<string, RememberedRequest>;
  /**
   * Request ids as a ring once full. Taking the oldest key from the map would
   * pass over all keys deleted before it.
   */
  private readonly order: string[];
  private oldest = 0;

  constructor(from: readonly RememberedRequest[] = []) {
    this.requests = new Map(from.map(each => [each.requestId, each]));
    this.order = [...this.requests.keys()];
  }

  /** The reply to a request id seen before, or undefined. */
  recall(command: OperatorCommand): ControlResult | undefined {
    const known = this.requests.get(command.requestId);
    if (known === undefined) return undefined;
    if (known.digest === digestOf(command)) {
      return {outcome: 'repeated', first: known.first};
    }
    return {
      outcome: 'invalid',
      code: 'request-id-reused',
      detail: `request id ${command.requestId} belongs to another request`,
    };
  }

  remember(command: OperatorCommand, first: FirstControlResult): void {
    const {requestId} = command;
    this.requests.set(requestId, {requestId, digest: digestOf(command), first});
    if (this.order.length < MAX_REMEMBERED_REQUESTS) {
      this.order.push(requestId);
      return;
    }
    this.requests.delete(this.order[this.oldest] ?? '');
    this.order[this.oldest] = requestId;
    this.oldest = (this.oldest + 1) % MAX_REMEMBERED_REQUESTS;
  }

  snapshot(): readonly RememberedRequest[] {
    return [...this.requests.values()];
  }
}
