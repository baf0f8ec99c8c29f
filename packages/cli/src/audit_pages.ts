/** Download of the audit trail, page by page. */
import type {AuditEntry, AuditPage} from '@mustardferry/model';

import {type ApiClient, listMember, objectBody} from './api_client.js';
import {ReplyError} from './errors.js';

/** Entries asked for at once. */
const PAGE_ENTRIES = 500;

/** Fetches the entries after an index. */
export async function fetchAuditPage(
  client: ApiClient,
  after: number,
  limit: number = PAGE_ENTRIES,
): Promise<AuditPage> {
  const reply = await client.send({
    method: 'GET',
    path: `/v1/audit?after=${after}&limit=${limit}`,
  });
  const entries = listMember(reply, 'entries') as readonly AuditEntry[];
  const {previousHash, lastIndex} = objectBody(reply);
  if (typeof previousHash !== 'string' || typeof lastIndex !== 'number') {
    throw new ReplyError(
      `${reply.url}: the audit page has no previousHash or lastIndex`,
    );
  }
  return {entries, previousHash, lastIndex};
}

/** Yields all pages from `after` up to the last entry known at that time. */
export async function* auditPages(
  client: ApiClient,
  after: number,
): AsyncGenerator<AuditPage> {
  let position = after;
  for (;;) {
    const page = await fetchAuditPage(client, position);
    yield page;
    const last = page.entries.at(-1);
    if (last === undefined || last.index >= page.lastIndex) return;
    position = last.index;
  }
}
