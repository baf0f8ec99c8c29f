/** Checks announcements that would displace an upstream. */
import type {Announcement} from '../upstreams/upstream_types.js';
import type {UpstreamSession} from './upstream_session.js';
import {sleep} from './waiting.js';

/** Longest wait in ms for an upstream that an announcement would displace. */
const ANSWER_TIMEOUT_MS = 300;

/**
 * Asks the upstreams that can't exist beside an announced incarnation: those at
 * its address, and the earlier incarnation of its id. Any sender can announce
 * an address; only the answers from there tell who uses it.
 */
export class DisplacementCheck {
  /** Announcements that are being checked, by id. */
  private readonly pending = new Map<string, Announcement>();

  /** Returns the announcement of an incarnation if it is being checked. */
  getPending(id: string, startedAt: number): Announcement | undefined {
    const announcement = this.pending.get(id);
    return announcement?.startedAt === startedAt ? announcement : undefined;
  }

  /**
   * Returns an upstream that an announcement would displace and that answers;
   * undefined if there is none, or none has answered in time.
   */
  async findPresent(
    announcement: Announcement,
    sessions: readonly UpstreamSession[],
  ): Promise<UpstreamSession | undefined> {
    const {id} = announcement;
    const displaced = findDisplaced(announcement, sessions);
    if (displaced.length === 0) return undefined;
    this.pending.set(id, announcement);
    const present = await findFirstPresent(displaced, id);
    if (this.pending.get(id) === announcement) this.pending.delete(id);
    return present;
  }
}

/** Asks all at once; one that doesn't answer must not hide one that does. */
function findFirstPresent(
  displaced: readonly UpstreamSession[],
  announcedId: string,
): Promise<UpstreamSession | undefined> {
  return new Promise(resolve => {
    const answers = displaced.map(async session => {
      const hasSameId = session.record.id === announcedId;
      if (await session.isPresent(hasSameId)) resolve(session);
    });
    const limit = sleep(ANSWER_TIMEOUT_MS);
    void Promise.race([Promise.all(answers), limit]).then(() =>
      resolve(undefined),
    );
  });
}

function findDisplaced(
  {id, address, startedAt}: Announcement,
  sessions: readonly UpstreamSession[],
): UpstreamSession[] {
  const known = sessions.find(({record}) => record.id === id);
  if (known && known.record.startedAt >= startedAt) return [];
  return sessions.filter(
    ({record}) => record.id === id || record.address === address,
  );
}
