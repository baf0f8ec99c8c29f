/** Timing and sizes of the log of a group of members. */

/** Interval of heartbeats in ms. */
export const HEARTBEAT_MS = 60;

/** Shortest election timeout in ms: five heartbeats. */
export const ELECTION_TIMEOUT_MS = 300;

/**
 * Silence in ms of a voter after which another member may take its place: a
 * machine that restarts is back before.
 */
export const REPLACE_SILENT_AFTER_MS = 6_000;

/** Segment size of the journal; a tenth of the smallest disk. */
export const SEGMENT_BYTES = 8 * 1024 * 1024;

/** Entries between snapshots: a snapshot costs tens of ms. */
export const SNAPSHOT_EVERY_ENTRIES = 2_000;
