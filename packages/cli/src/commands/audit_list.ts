/** `mustardferry audit list`: entries of the audit trail. */
import type {AuditEntry} from '@mustardferry/model';

import {fetchAuditPage} from '../audit_pages.js';
import {
  type Command,
  CONNECTION_FLAGS,
  integerArg,
  JSON_FLAG,
  switchArg,
  withClient,
} from '../command.js';
import {EXIT} from '../exit_codes.js';
import {formatJson, formatTable, formatTime} from '../output.js';

const HEADER = [
  'INDEX',
  'TIME',
  'OPERATOR',
  'ACTION',
  'TEAM',
  'REVISION',
  'REQUEST',
  'DETAIL',
];

/**
 * What was ordered and why it was not applied. The answers of a team are too
 * long for the table.
 */
function describeDetail({action, after, detail}: AuditEntry): string {
  if (action !== 'drain' && action !== 'evacuation') return detail;
  return detail === '' ? after : `${after}; ${detail}`;
}

function toRow(entry: AuditEntry) {
  return [
    entry.index,
    formatTime(entry.atMs),
    entry.operator,
    entry.action,
    entry.team,
    `${entry.fromRevision}->${entry.toRevision}`,
    entry.requestId,
    describeDetail(entry),
  ];
}

export const auditListCommand: Command = {
  path: ['audit', 'list'],
  positionals: '',
  summary: 'List entries of the audit trail',
  flags: {
    ...CONNECTION_FLAGS,
    ...JSON_FLAG,
    after: {
      type: 'string',
      requiresArg: true,
      describe: 'Index after which to start (default 0)',
    },
    limit: {
      type: 'string',
      requiresArg: true,
      describe: 'Most entries to list (default 100)',
    },
  },
  examples: [['$0 audit list --after 120 --limit 50', 'List 50 entries']],
  run: (args, context) =>
    withClient(args, context, async client => {
      const after = integerArg(args, 'after', 0, Number.MAX_SAFE_INTEGER) ?? 0;
      const limit = integerArg(args, 'limit', 1, 1_000) ?? 100;
      const page = await fetchAuditPage(client, after, limit);
      if (switchArg(args, 'json')) context.out(formatJson(page));
      else context.out(formatTable(HEADER, page.entries.map(toRow)));
      return EXIT.SUCCESS;
    }),
};
