/** What was sent, answered and run, for `record.txt` of a case. */
import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';

export class Record {
  constructor(file) {
    this.file = file;
    this.lines = [];
    this.startedAt = performance.now();
  }

  /** Time since the start in ms. */
  get nowMs() {
    return Math.round(performance.now() - this.startedAt);
  }

  add(text) {
    this.lines.push(`${String(this.nowMs).padStart(6)} ms  ${text}`);
  }

  write() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}
