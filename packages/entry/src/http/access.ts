/** Bearer tokens of the HTTP interfaces. */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';

import type {AccessTokens} from '@mustardferry/model';

import {fail} from './problems.js';

/** Interfaces that have tokens of their own. */
export type Audience = keyof AccessTokens;

function digest(token: string): Buffer {
  return createHash('sha256').update(token).digest();
}

/** Checks bearer tokens in time that does not depend on their content. */
export class AccessControl {
  private readonly digests: ReadonlyMap<Audience, readonly Buffer[]>;

  constructor(tokens: AccessTokens) {
    const audiences = [
      'clients',
      'operators',
      'upstreams',
      'instances',
    ] as const;
    this.digests = new Map(
      audiences.map(audience => [audience, tokens[audience].map(digest)]),
    );
  }

  /** Whether the headers carry a token of this audience, or none is needed. */
  allows(audience: Audience, headers: IncomingHttpHeaders): boolean {
    const accepted = this.digests.get(audience) ?? [];
    if (accepted.length === 0) return true;
    const match = /^Bearer (\S+)$/.exec(headers.authorization ?? '');
    const offered = digest(match?.[1] ?? '');
    // Compares with every token, so that the time does not show which matched.
    return accepted.reduce(
      (found, token) => timingSafeEqual(token, offered) || found,
      false,
    );
  }

  /** Ends the request with `unauthorized` unless it is allowed. */
  require(audience: Audience, headers: IncomingHttpHeaders): void {
    if (!this.allows(audience, headers)) {
      fail('unauthorized', `A token for ${audience} is required.`);
    }
  }
}
