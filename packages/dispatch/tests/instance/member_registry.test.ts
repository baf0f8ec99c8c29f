import type {LogStatus, MemberId} from '@mustardferry/coordination';
import {expect} from 'chai';

import {MemberRegistry} from '../../src/instance/member_registry.js';
import type {Hello} from '../../src/messages/peer_messages.js';

function createHello(
  address: string,
  dataCentre: string,
  incarnation = 'first',
): Hello {
  return {type: 'hello', role: 'member', address, dataCentre, incarnation};
}

describe('MemberRegistry', () => {
  let connected: Set<string>;
  let registered: MemberId[];
  let received: string[];
  let registry: MemberRegistry;
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
    received = [];
    registry = new MemberRegistry({
      address: 'm0',
      dataCentre: 'a',
      toleratedFailures: 1,
      isConnected: address => connected.has(address),
      send: address => received.push(address) > 0,
    });
    registry.addMember(createHello('m1', 'b'));
    registry.addMember(createHello('m2', 'c'));
    registry.registerEligibleVoters(log);
    registered = [];
  });

  it('sends to the connected members only', () => {
    connected.delete('m1');
    registry.sendToAll({type: 'view'} as never);
    expect(received).to.deep.equal(['m2']);
  });

  it('does not register a substitute while its data centre has a voter', () => {
    connected.add('m3');
    registry.addMember(createHello('m3', 'c'));
    registry.registerEligibleVoters(log);
    expect(registered).to.deep.equal([]);
  });

  it('registers a substitute once the voter in its data centre is disconnected', () => {
    connected.add('m3');
    registry.addMember(createHello('m3', 'c'));
    registry.registerEligibleVoters(log);
    connected.delete('m2');
    registry.registerEligibleVoters(log);
    expect(registered).to.deep.equal([{name: 'm3', incarnation: 'first'}]);
  });

  it('registers each new incarnation of a voter once', () => {
    registry.addMember(createHello('m2', 'c', 'second'));
    registry.registerEligibleVoters(log);
    registry.registerEligibleVoters(log);
    expect(registered).to.deep.equal([{name: 'm2', incarnation: 'second'}]);
  });
});
