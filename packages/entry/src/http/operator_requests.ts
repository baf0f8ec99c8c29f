/** What the routes for operators have in common. */
import type {
  ControlResult,
  FirstControlResult,
} from '@mustardferry/coordination';
import {assertNever} from '@mustardferry/model';
import type {FastifyRequest} from 'fastify';

import {
  ControlOutcomeUnknownError,
  ControlUnavailableError,
} from '../control/control_errors.js';
import type {ControlService} from '../control/control_service.js';
import {fail} from './problems.js';

const MAX_OPERATOR_LENGTH = 128;

/** Revision named by `If-Match`, as sent in an `ETag`. */
export function requestedRevision(req: FastifyRequest): number {
  const header = req.headers['if-match'];
  const match = /^"?(\d+)"?$/.exec(header ?? '');
  if (match === null) {
    fail(
      'invalid-body',
      'If-Match: the revision that the change is based on is required.',
    );
  }
  return Number(match[1]);
}

/** Name of the operator for the audit trail. */
export function operatorOf(req: FastifyRequest): string {
  const header = req.headers['operator'];
  const name = typeof header === 'string' ? header : 'unnamed';
  return name.slice(0, MAX_OPERATOR_LENGTH);
}

/** Id of a request that must be safe to send again. */
export function requestIdOf(req: FastifyRequest): string {
  const header = req.headers['request-id'];
  if (typeof header !== 'string' || header === '') {
    fail('invalid-body', 'Request-Id: required, so that a resend is safe.');
  }
  // The server replaces an unusable id, and a resend would get another one.
  if (header !== req.id) {
    fail('invalid-body', 'Request-Id: at most 128 printable characters.');
  }
  return header;
}

/** Waits for a proposal; ends the request when it was not settled. */
export async function proposed(
  run: () => Promise<ControlResult>,
): Promise<ControlResult> {
  try {
    return await run();
  } catch (err) {
    if (err instanceof ControlUnavailableError) {
      return fail('control-unavailable', err.message, {retryAfterSeconds: 1});
    }
    if (err instanceof ControlOutcomeUnknownError) {
      return fail(
        'control-outcome-unknown',
        `${err.message}; resend with the same Request-Id.`,
        {retryAfterSeconds: 1},
      );
    }
    throw err;
  }
}

/**
 * Ends the request unless the state is confirmed: one from before a restart may be older than what was shown then.
 */
export function requireState(control: ControlService): void {
  if (control.hasState) return;
  fail('not-ready', 'No confirmed configuration is held yet.', {
    retryAfterSeconds: 1,
  });
}

/** A change that was accepted, now or when it was first requested. */
export interface AcceptedChange {
  readonly revision: number;
  readonly repeated: boolean;
}

/**
 * Returns the revision of an accepted change; fails the request otherwise.
 *
 * @param refuseInvalid Fails the request for a change that is invalid.
 */
export function requireAccepted(
  result: ControlResult,
  refuseInvalid: (
    invalid: Extract<FirstControlResult, {outcome: 'invalid'}>,
  ) => never,
): AcceptedChange {
  const repeated = result.outcome === 'repeated';
  const first = repeated ? result.first : result;
  switch (first.outcome) {
    case 'accepted':
      return {revision: first.revision, repeated};
    case 'conflict': {
      const {operator, requestId, revision} = first.winner;
      return fail(
        'revision-conflict',
        `Revision ${revision} by ${operator} (request ${requestId}) came first.`,
      );
    }
    case 'invalid':
      return refuseInvalid(first);
    default:
      return assertNever(first);
  }
}
