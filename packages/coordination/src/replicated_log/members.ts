/** Identity of the members of a replicated log. */

/**
 * One life of a member. A member that can't prove that it kept everything it
 * acknowledged returns under a new incarnation and has no vote under it.
 */
export interface MemberId {
  readonly name: string;
  /** Unique per life of the member; `absent` for one that never registered. */
  readonly incarnation: string;
}

/** Incarnation of a voter name that has not registered yet. */
export const ABSENT_INCARNATION = 'absent';

/** Stable text form of a member identity. */
export function getMemberKey(member: MemberId): string {
  return `${member.name}#${member.incarnation}`;
}

/** Whether both ids name the same life of the same member. */
export function isSameMember(a: MemberId | null, b: MemberId | null): boolean {
  return a?.name === b?.name && a?.incarnation === b?.incarnation;
}
