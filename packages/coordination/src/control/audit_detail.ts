/** Text of results in the audit trail. */
import {assertNever} from '@mustardferry/model';

import type {ControlResult} from './control_messages.js';

/** Detail of a refused change in the audit trail. */
export function detailOf(result: ControlResult): string {
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
