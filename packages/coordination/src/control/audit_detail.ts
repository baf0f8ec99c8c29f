/** Formats command results for the audit trail. */
import {assertNever} from '@mustardferry/model';

import type {ControlResult} from './control_messages.js';

/** Formats why a change was not applied; empty for an accepted change. */
export function formatResultDetail(result: ControlResult): string {
  switch (result.outcome) {
    case 'accepted':
      return '';
    case 'conflict': {
      const {operator, requestId, revision} = result.winner;
      return `conflict: revision ${revision} by ${operator}, request ${requestId}`;
    }
    case 'invalid':
      return `${result.code}: ${result.detail}`;
    case 'repeated':
      return 'repeated';
    default:
      return assertNever(result);
  }
}
