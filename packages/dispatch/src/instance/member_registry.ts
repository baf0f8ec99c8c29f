/** The members that have connected to this one. */
import type {MemberId, ReplicatedLog} from '@mustardferry/coordination';

import type {Hello} from '../messages/peer_messages.js';
import {type KnownMember, mayVote, votersFor} from './voter_placement.js';

/** Options of the registry. */
export interface KnownMembersOptions extends KnownMember {
  /** Members that may be lost at once. */
  readonly toleratedFailures: number;
  /** Whether the connection to a member is open. */
  readonly isConnected: (address: string) => boolean;
}

/** Part of the log that takes members without a vote. */
type VoterLog = Pick<
  ReplicatedLog<unknown, unknown>,
  'status' | 'setRegistered'
>;

/** Remembers what each member said of itself last. */
export class KnownMembers {
  private readonly byAddress = new Map<string, Hello>();
  private readonly registered = new Map<string, string>();

  constructor(private readonly options: KnownMembersOptions) {}

  get addresses(): readonly string[] {
    return [...this.byAddress.keys()];
  }

  get connected(): readonly Hello[] {
    return [...this.byAddress.values()].filter(({address}) =>
      this.options.isConnected(address),
    );
  }

  meet(hello: Hello): void {
    this.byAddress.set(hello.address, hello);
  }

  /** Tells the log of the members that may have a vote. */
  registerVoters(log: VoterLog | null): void {
    if (!log) return;
    const {options} = this;
    const members = [options, ...this.connected];
    const reached = new Set(members.map(({address}) => address));
    const places = {
      targetVoters: votersFor(options.toleratedFailures),
      voters: log
        .status()
        .voters.map(({name}) => name)
        .filter(name => reached.has(name)),
      members,
    };
    for (const hello of this.byAddress.values()) {
      if (mayVote(hello, places)) this.register(log, hello);
    }
  }

  private register(log: VoterLog, {address, incarnation}: Hello): void {
    if (this.registered.get(address) === incarnation) return;
    this.registered.set(address, incarnation);
    const member: MemberId = {name: address, incarnation};
    log.setRegistered(member);
  }
}
