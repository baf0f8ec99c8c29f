/** Timing and sizes of the log of a group of members. */

/** Interval of heartbeats in ms. */
export const HEARTBEAT_MS = 60;

/**
 * Shortest election timeout in ms. A new leader opens all sessions and takes
 * all repeated calls in a few turns of its event loop, each up to 250 ms long
 * on a small machine; two of them must not cost it the leadership.
 */
export const ELECTION_TIMEOUT_MS = 600;

/**
 * Silence in ms of a voter after which another member may take its place: a
 * machine that restarts is back before.
 */
export const REPLACE_SILENT_AFTER_MS = 6_000;

/** Segment size of the journal; a tenth of the smallest disk. */
export const SEGMENT_BYTES = 8 * 1024 * 1024;

/** Entries between snapshots: a snapshot costs tens of ms. */
export const SNAPSHOT_EVERY_ENTRIES = 2_000;
