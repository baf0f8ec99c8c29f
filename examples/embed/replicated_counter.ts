/** A counter that three members replicate and that outlives its leader. */
import {type MemberId, ReplicatedLog} from '@mustardferry/coordination';

import {CounterMachine} from './counter_machine.js';
import {MemoryNetwork, MemoryTransport} from './memory_network.js';

interface Member {
  readonly id: MemberId;
  readonly machine: CounterMachine;
  readonly log: ReplicatedLog<number, number>;
}

const NAMES = ['a', 'b', 'c'];

async function openMember(
  id: MemberId,
  voters: readonly MemberId[],
  network: MemoryNetwork,
): Promise<Member> {
  const machine = new CounterMachine();
  const log = await ReplicatedLog.open({
    self: id,
    voters,
    mode: 'in-memory',
    storage: null,
    transport: new MemoryTransport(network, id),
    machine,
  });
  network.add(id.name, log);
  return {id, machine, log};
}

/** Resolves with the first member that becomes the leader. */
function nextLeader(members: readonly Member[]): Promise<Member> {
  return new Promise(resolve => {
    for (const member of members) {
      member.log.onLeadership(({leader}) => {
        if (leader) resolve(member);
      });
    }
  });
}

/** What the counter was before and after the loss of its leader. */
export interface CounterRun {
  readonly before: number;
  readonly after: number;
  readonly leaders: readonly string[];
}

/** Adds 1 to 5, loses the leader, and adds 10 at the next one. */
export async function runReplicatedCounter(): Promise<CounterRun> {
  const network = new MemoryNetwork();
  // A member without a disk returns under a new incarnation after a restart.
  const voters = NAMES.map(name => ({name, incarnation: `${name}-1`}));
  const members = await Promise.all(
    voters.map(id => openMember(id, voters, network)),
  );
  const first = await nextLeader(members);
  const sums = await Promise.all(
    [1, 2, 3, 4, 5].map(n => first.log.propose(n)),
  );

  const others = members.filter(member => member !== first);
  const elected = nextLeader(others);
  await first.log.close();
  network.remove(first.id.name);
  const second = await elected;
  const after = await second.log.propose(10);
  await second.log.readBarrier();
  if (second.machine.value !== after) throw new Error('the read is stale');

  for (const member of others) await member.log.close();
  const leaders = [first.id.name, second.id.name];
  return {before: sums.at(-1) ?? 0, after, leaders};
}
