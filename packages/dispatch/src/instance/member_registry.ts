/** Registry of the members that have connected to this one. */
import type {MemberId, ReplicatedLog} from '@mustardferry/coordination';
import {PeerProtocolError} from '@mustardferry/links';

import type {Hello, PeerMessage} from '../messages/peer_messages.js';
import {
  getVoterCount,
  mayBecomeVoter,
  type MemberLocation,
} from './voter_placement.js';

/** Options of the registry. */
export interface MemberRegistryOptions extends MemberLocation {
  /** Number of simultaneous member failures to tolerate. */
  readonly toleratedFailures: number;
  /** Whether the connection to a member is open. */
  readonly isConnected: (address: string) => boolean;
  /** Sends to a member; returns false if it is not connected. */
  readonly send: (address: string, message: PeerMessage) => boolean;
}

/** Part of the log that accepts members as candidates for a vote. */
type VoterLog = Pick<
  ReplicatedLog<unknown, unknown>,
  'status' | 'setRegistered'
>;

/** Keeps the latest hello message of each member. */
export class MemberRegistry {
  private readonly byAddress = new Map<string, Hello>();
  private readonly registered = new Map<string, string>();

  constructor(private readonly options: MemberRegistryOptions) {}

  get addresses(): readonly string[] {
    return [...this.byAddress.keys()];
  }

  get connectedMembers(): readonly Hello[] {
    return [...this.byAddress.values()].filter(({address}) =>
      this.options.isConnected(address),
    );
  }

  /** @throws PeerProtocolError when the message does not name a member. */
  addMember(hello: Hello): void {
    const {address, dataCentre, incarnation} = hello;
    if (![address, dataCentre, incarnation].every(isText)) {
      throw new PeerProtocolError('a hello does not name its member');
    }
    this.byAddress.set(address, hello);
  }

  /** Sends a message to all members that are connected. */
  sendToAll(message: PeerMessage): void {
    for (const {address} of this.connectedMembers) {
      this.options.send(address, message);
    }
  }

  /** Registers with the log the members that may get a vote. */
  registerEligibleVoters(log: VoterLog | null): void {
    if (!log) return;
    const {options} = this;
    const members = [options, ...this.connectedMembers];
    const reachableAddresses = new Set(members.map(({address}) => address));
    const placement = {
      targetVoters: getVoterCount(options.toleratedFailures),
      voters: log
        .status()
        .voters.map(({name}) => name)
        .filter(name => reachableAddresses.has(name)),
      members,
    };
    for (const hello of this.byAddress.values()) {
      if (mayBecomeVoter(hello, placement)) this.registerMember(log, hello);
    }
  }

  private registerMember(log: VoterLog, {address, incarnation}: Hello): void {
    if (this.registered.get(address) === incarnation) return;
    this.registered.set(address, incarnation);
    const member: MemberId = {name: address, incarnation};
    log.setRegistered(member);
  }
}

/** Creates the first message of a member on its connections. */
export function createMemberHello(
  {address, dataCentre}: MemberLocation,
  incarnation: string,
): Hello {
  return {type: 'hello', role: 'member', address, dataCentre, incarnation};
}

function isText(value: unknown): boolean {
  return typeof value === 'string';
}
