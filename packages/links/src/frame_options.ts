/** Figures that both ends of a framed connection share. */

/** Path of the WebSocket. */
export const FRAME_PATH = '/frames';

/** Timing of framed connections in milliseconds. */
export const FRAME_TIMING = {
  /** A third of the silence, so that one lost ping does not end a link. */
  pingAfterMs: 150,
  /** Below the election timeout, so that a silent path is left before it. */
  silenceMs: 450,
  /** Ten round trips between distant data centres. */
  connectMs: 400,
} as const;

/** Largest batch; holds a snapshot of the state. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;

/** A peer that leaves this much unread has stopped reading. */
export const MAX_UNSENT_BYTES = 32 * 1024 * 1024;
