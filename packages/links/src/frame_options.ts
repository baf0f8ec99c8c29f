/** Figures that both ends of a framed connection share. */

/** Path of the WebSocket. */
export const FRAME_PATH = '/frames';

/** How soon a silent connection is noticed. Durations are in milliseconds. */
export interface Watch {
  /** Quiet time before a ping. */
  readonly pingAfterMs: number;
  /** Quiet time after which the connection counts as lost. */
  readonly silenceMs: number;
}

/**
 * For paths that calls wait on: the silence is below the election timeout, and
 * three pings long, so that one lost ping does not end a link.
 */
export const CLOSE_WATCH: Watch = {pingAfterMs: 150, silenceMs: 450};

/**
 * For paths that may be needed later, and for the accepting side, which hears
 * the pings of the other one.
 */
export const LOOSE_WATCH: Watch = {pingAfterMs: 600, silenceMs: 1_800};

/** Longest time in ms to connect: ten round trips between data centres. */
export const CONNECT_MS = 400;

/** Largest batch; holds a snapshot of the state. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;

/** A peer that leaves this much unread has stopped reading. */
export const MAX_UNSENT_BYTES = 32 * 1024 * 1024;
