import type {LogStatus, MemberId} from '@mustardferry/coordination';
import {expect} from 'chai';

import {KnownMembers} from '../../src/instance/member_registry.js';
import type {Hello} from '../../src/messages/peer_messages.js';

function hello(
  address: string,
  dataCentre: string,
  incarnation = 'first',
): Hello {
  return {type: 'hello', role: 'member', address, dataCentre, incarnation};
}

describe('KnownMembers', () => {
  let connected: Set<string>;
  let registered: MemberId[];
  let members: KnownMembers;
  const log = {
    status: () =>
      ({
        voters: ['m0', 'm1', 'm2'].map(name => ({name, incarnation: 'first'})),
      }) as unknown as LogStatus,
    setRegistered: (member: MemberId) => void registered.push(member),
  };

  beforeEach(() => {
    connected = new Set(['m1', 'm2']);
    registered = [];
    members = new KnownMembers({
      address: 'm0',
      dataCentre: 'a',
      toleratedFailures: 1,
      isConnected: address => connected.has(address),
    });
    members.meet(hello('m1', 'b'));
    members.meet(hello('m2', 'c'));
    members.registerVoters(log);
    registered = [];
  });

  it('keeps a substitute without a vote while its data centre has one', () => {
    connected.add('m3');
    members.meet(hello('m3', 'c'));
    members.registerVoters(log);
    expect(registered).to.deep.equal([]);
  });

  it('registers a substitute once the voter of its data centre is gone', () => {
    connected.add('m3');
    members.meet(hello('m3', 'c'));
    members.registerVoters(log);
    connected.delete('m2');
    members.registerVoters(log);
    expect(registered).to.deep.equal([{name: 'm3', incarnation: 'first'}]);
  });

  it('registers a new life of a voter, and each life once', () => {
    members.meet(hello('m2', 'c', 'second'));
    members.registerVoters(log);
    members.registerVoters(log);
    expect(registered).to.deep.equal([{name: 'm2', incarnation: 'second'}]);
  });
});
