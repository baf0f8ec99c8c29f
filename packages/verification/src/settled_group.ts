/**
 * A group whose messages are delivered at once between the members that reach
 * each other. Models above the log use it; the interleavings of the log's own
 * messages are explored by the election scenario.
 */
import {
  getEntryAt,
  getTermAt,
  lastIndex,
  type LogEntry,
} from '@mustardferry/coordination';

import {
  type Envelope,
  type GroupRules,
  type MemberStep,
  type ModelEvent,
  type ModelMember,
  newMember,
  startMember,
  stepMember,
  syncMember,
} from './group_model.js';
import {Interner, Memo} from './interner.js';

/** Members of a group and the one that is cut off, if any. */
export interface SettledGroup {
  readonly members: readonly ModelMember[];
  readonly isolated: number | null;
}

const NAMES = ['a', 'b', 'c'];

/** Rules of a group of three. */
export function groupRules(
  cfg: GroupRules['cfg'],
  acknowledgeBeforeSync = false,
): GroupRules {
  const voters = NAMES.map(name => ({name, incarnation: '1'}));
  return {cfg, voters, acknowledgeBeforeSync};
}

/** Operations on settled groups under fixed rules. */
export class GroupSimulator {
  readonly rules: GroupRules;
  /** Whether disks sync at once; otherwise only by `syncAll`. */
  private readonly syncAtOnce: boolean;
  private readonly ids = new Interner<ModelMember>();
  private readonly steps = new Memo<MemberStep>();

  constructor(rules: GroupRules, syncAtOnce: boolean) {
    this.rules = rules;
    this.syncAtOnce = syncAtOnce;
  }

  /** A new group whose first member leads. */
  create(): SettledGroup {
    const members = this.rules.voters.map(self => newMember(self, this.rules));
    return this.elect({members, isolated: null}, 0);
  }

  elect(group: SettledGroup, at: number): SettledGroup {
    return this.send(group, at, {type: 'tick'});
  }

  propose(group: SettledGroup, at: number, command: string): SettledGroup {
    const commands = [command];
    const proposed = this.send(group, at, {
      type: 'propose',
      commands,
      durable: command.startsWith('start'),
    });
    return this.heartbeat(proposed, at);
  }

  /** Lets a leader tell the commit index. */
  heartbeat(group: SettledGroup, at: number): SettledGroup {
    const leads = group.members[at]?.core.role === 'leader';
    return leads ? this.send(group, at, {type: 'tick'}) : group;
  }

  /** Restarts a member with what its disk holds. */
  restart(group: SettledGroup, at: number): SettledGroup {
    const old = group.members[at] as ModelMember;
    const {self} = old.core;
    const keeps = this.rules.cfg.syncEverything;
    const incarnation = keeps
      ? self.incarnation
      : String(Number(self.incarnation) + 1);
    const id = {name: self.name, incarnation};
    const started = this.steps.get(`${this.ids.idOf(old)} restart`, () => {
      const member = startMember(id, old.disk, this.rules);
      return this.shared({member, sent: []});
    });
    let next = this.put(group, at, started);
    if (keeps) return next;
    group.members.forEach((_, i) => {
      next = this.send(next, i, {type: 'registered', member: id});
    });
    return this.send(next, at, {type: 'tick'});
  }

  /** Completes all writes of all members. */
  syncAll(group: SettledGroup): SettledGroup {
    return this.deliver(group, [], true);
  }

  /** Equal for members that behave the same. */
  idOf(member: ModelMember): number {
    return this.ids.idOf(member);
  }

  private step(member: ModelMember, event: ModelEvent): MemberStep {
    const key = `${this.ids.idOf(member)} ${JSON.stringify(event)}`;
    return this.steps.get(key, () =>
      this.shared(stepMember(member, event, this.rules)),
    );
  }

  private sync(member: ModelMember): MemberStep {
    const key = `${this.ids.idOf(member)} sync`;
    return this.steps.get(key, () =>
      this.shared(syncMember(member, this.rules)),
    );
  }

  /** Uses one object for equal members, so that each is serialized once. */
  private shared({member, sent}: MemberStep): MemberStep {
    return {member: this.ids.valueOf(this.ids.idOf(member)), sent};
  }

  private send(
    group: SettledGroup,
    at: number,
    event: ModelEvent,
  ): SettledGroup {
    const member = group.members[at] as ModelMember;
    return this.put(group, at, this.step(member, event));
  }

  private put(group: SettledGroup, at: number, next: MemberStep): SettledGroup {
    const members = group.members.map((m, i) => (i === at ? next.member : m));
    return this.deliver({...group, members}, next.sent, this.syncAtOnce);
  }

  private deliver(
    group: SettledGroup,
    sent: readonly Envelope[],
    sync: boolean,
  ): SettledGroup {
    const members = [...group.members];
    const queue = [...sent];
    for (;;) {
      const envelope = queue.shift();
      if (envelope) {
        const {from, to, message} = envelope;
        const at = NAMES.indexOf(to.name);
        const source = NAMES.indexOf(from.name);
        if (group.isolated === at || group.isolated === source) continue;
        const event: ModelEvent = {type: 'receive', from, message};
        const member = members[at] as ModelMember;
        const next = this.step(member, event);
        members[at] = next.member;
        queue.push(...next.sent);
        continue;
      }
      const at = members.findIndex(member => member.pending.length > 0);
      if (!sync || at < 0) return {...group, members};
      const next = this.sync(members[at] as ModelMember);
      members[at] = next.member;
      queue.push(...next.sent);
    }
  }
}

/** Members that may act as the owner: they committed an entry of their term. */
export function ownersOf(group: SettledGroup): readonly number[] {
  return group.members.flatMap(({core}, at) =>
    core.role === 'leader' && getTermAt(core, core.commitIndex) === core.term
      ? [at]
      : [],
  );
}

/** Entries of a member's log, up to its commit index or to its end. */
export function entriesOf(
  member: ModelMember,
  committedOnly: boolean,
): readonly LogEntry<string>[] {
  const {core} = member;
  const end = committedOnly ? core.commitIndex : lastIndex(core);
  const entries: LogEntry<string>[] = [];
  for (let index = 1; index <= end; index++) {
    const entry = getEntryAt(core, index);
    if (entry) entries.push(entry);
  }
  return entries;
}
