/** Identity of the members of a replicated log. */

/**
 * One incarnation of a member. A member that may have lost something that it
 * acknowledged restarts as a new incarnation, which has no vote.
 */
export interface MemberId {
  readonly name: string;
  /** Distinguishes incarnations of a name; `absent` if it never registered. */
  readonly incarnation: string;
}

/** Incarnation of a voter that has not registered yet. */
export const ABSENT_INCARNATION = 'absent';

/** Returns a string that identifies a member, for use as a key. */
export function getMemberKey(member: MemberId): string {
  return `${member.name}#${member.incarnation}`;
}

/** Whether both ids are the same incarnation of the same member. */
export function isSameMember(a: MemberId | null, b: MemberId | null): boolean {
  return a?.name === b?.name && a?.incarnation === b?.incarnation;
}
