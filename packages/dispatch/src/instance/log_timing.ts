/** Timing and sizes of the replicated log. */

/** Interval of heartbeats in ms. */
export const HEARTBEAT_MS = 60;

/**
 * Minimum election timeout in ms. A new leader opens all sessions and handles
 * all retried calls in a few turns of its event loop, each up to 250 ms long on
 * a small machine. Two such turns must not trigger an election.
 */
export const ELECTION_TIMEOUT_MS = 600;

/**
 * Minimum election timeout in ms for a leader whose messages have come evenly
 * for some seconds: one turn of 250 ms must not trigger an election.
 */
export const CALM_ELECTION_TIMEOUT_MS = 300;

/** Most time in ms until a follower campaigns. */
export const MAX_ELECTION_MS = 2 * ELECTION_TIMEOUT_MS;

/**
 * Time in ms without contact after which a voter may be replaced by another
 * member. It is longer than the restart of a machine takes.
 */
export const REPLACE_SILENT_AFTER_MS = 6_000;

/** Options of the log for a group of members. */
export const LOG_OPTIONS = {
  mode: 'sync-everything',
  heartbeatMs: HEARTBEAT_MS,
  electionTimeoutMs: ELECTION_TIMEOUT_MS,
  calmElectionTimeoutMs: CALM_ELECTION_TIMEOUT_MS,
  replaceSilentAfterMs: REPLACE_SILENT_AFTER_MS,
  // Each snapshot takes tens of ms.
  snapshotEveryEntries: 2_000,
} as const;

/** Segment size of the journal: a tenth of the smallest supported disk. */
export const SEGMENT_BYTES = 8 * 1024 * 1024;
