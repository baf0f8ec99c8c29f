/** The upstream's rules for starts, as the protocol defines them. */

/** A start message, possibly delayed or repeated. */
export interface StartMessage {
  /** `s` must never be repeated, `r` may be. */
  readonly id: string;
  readonly attempt: number;
  /** Owner epoch: the term of the group's leader. */
  readonly term: number;
}

/** What an upstream remembers. */
export interface UpstreamState {
  readonly epoch: number;
  readonly started: readonly StartMessage[];
  /** Attempts of `s` that were sealed. */
  readonly sealed: readonly number[];
}

/** An upstream that nothing was sent to. */
export const NEW_UPSTREAM: UpstreamState = {
  epoch: 0,
  started: [],
  sealed: [],
};

/** Handles a start; without the epoch check a seeded fault is in force. */
export function receiveStart(
  upstream: UpstreamState,
  start: StartMessage,
  checksEpoch: boolean,
): {readonly upstream: UpstreamState; readonly violation: string | null} {
  const {epoch, started, sealed} = upstream;
  const old = start.term < epoch;
  if (old && checksEpoch) return {upstream, violation: null};
  const repeated = started.some(
    ({id, attempt, term}) =>
      id === start.id &&
      attempt === start.attempt &&
      (id === 's' || term === start.term),
  );
  const refused = start.id === 's' && sealed.includes(start.attempt);
  const runs = !repeated && !refused;
  return {
    upstream: {
      epoch: Math.max(epoch, start.term),
      started: runs ? [...started, start] : started,
      sealed,
    },
    violation: old && runs ? 'a superseded owner started a task' : null,
  };
}
