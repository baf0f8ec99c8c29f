/** Processor time and memory of a process, from /proc. */
import {readFile} from 'node:fs/promises';

/** What a process used so far. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentMb: number;
}

/** Linux reports processor time in ticks of 10 ms. */
const TICK_MS = 10;
/** Positions of utime and stime after the command name in /proc/PID/stat. */
const UTIME_FIELD = 11;
const STIME_FIELD = 12;

/** Parses the texts of /proc/PID/stat and /proc/PID/status. */
export function parseUsage(stat: string, status: string): ProcessUsage {
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[UTIME_FIELD]) + Number(fields[STIME_FIELD]);
  const resident = /^VmRSS:\s+(\d+) kB/m.exec(status);
  return {cpuMs: ticks * TICK_MS, residentMb: Number(resident?.[1]) / 1_024};
}

/** Reads the usage of a process that the bench started. */
export async function usageOf(pid: number): Promise<ProcessUsage> {
  const [stat, status] = await Promise.all([
    readFile(`/proc/${pid}/stat`, 'utf8'),
    readFile(`/proc/${pid}/status`, 'utf8'),
  ]);
  return parseUsage(stat, status);
}
