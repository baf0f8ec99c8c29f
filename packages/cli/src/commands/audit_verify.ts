/** `mustardferry audit verify`: checks the hash chain of the audit trail. */
import type {ApiClient} from '../api_client.js';
import {type ChainPosition, checkChain} from '../audit_chain.js';
import {auditPages} from '../audit_pages.js';
import {
  type Command,
  CONNECTION_FLAGS,
  integerArg,
  JSON_FLAG,
  switchArg,
  withClient,
} from '../command.js';
import {EXIT} from '../exit_codes.js';
import {formatJson} from '../output.js';

/** Result of a verification. */
interface Verification {
  readonly valid: boolean;
  readonly entries: number;
  /** Empty when the chain is whole. */
  readonly reason: string;
  readonly lastHash: string;
}

async function verify(client: ApiClient, after: number): Promise<Verification> {
  let entries = 0;
  let lastHash = '';
  let position: ChainPosition | undefined;
  const failed = (reason: string) => ({
    valid: false,
    entries,
    reason,
    lastHash,
  });
  for await (const page of auditPages(client, after)) {
    if (position === undefined) {
      if (after === 0 && page.previousHash !== '') {
        return failed('the trail does not start with its first entry');
      }
      position = {index: after, hash: page.previousHash};
    } else if (page.previousHash !== position.hash) {
      return failed(`the page after entry ${position.index} does not continue`);
    }
    const check = checkChain(position, page.entries);
    if (!check.valid) return failed(check.reason);
    position = check.position;
    entries += page.entries.length;
    lastHash = position.hash;
    if (page.entries.length === 0 && page.lastIndex > position.index) {
      return failed(`entries after ${position.index} are missing`);
    }
  }
  return {valid: true, entries, reason: '', lastHash};
}

export const auditVerifyCommand: Command = {
  path: ['audit', 'verify'],
  positionals: '',
  summary: 'Download the audit trail and check its hash chain',
  flags: {
    ...CONNECTION_FLAGS,
    ...JSON_FLAG,
    after: {
      type: 'string',
      requiresArg: true,
      describe:
        'Check only entries after this index, for trails whose start is no longer kept (default 0)',
    },
  },
  examples: [['$0 audit verify', 'Check the whole trail']],
  run: (args, context) =>
    withClient(args, context, async client => {
      const after = integerArg(args, 'after', 0, Number.MAX_SAFE_INTEGER) ?? 0;
      const result = await verify(client, after);
      if (switchArg(args, 'json')) context.out(formatJson(result));
      else if (result.valid) {
        context.out(
          `${result.entries} entries verified, last hash ${result.lastHash}\n`,
        );
      } else context.err(`audit trail invalid: ${result.reason}\n`);
      return result.valid ? EXIT.SUCCESS : EXIT.VERIFICATION_FAILED;
    }),
};
