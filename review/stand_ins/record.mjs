/** What was sent, answered and run in one case, in the order of events. */
import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';

export class Record {
  constructor(path) {
    this.path = path;
    this.startedAt = performance.now();
    this.events = [];
  }

  /** Time in ms since the start of the case. */
  get now() {
    return Math.round(performance.now() - this.startedAt);
  }

  add(event, fields = {}) {
    this.events.push({at: this.now, event, ...fields});
  }

  of(event) {
    return this.events.filter(each => each.event === event);
  }

  write() {
    const lines = this.events.map(({at, event, ...fields}) => {
      const words = Object.entries(fields).map(
        ([name, value]) => `${name}=${JSON.stringify(value)}`,
      );
      return `${String(at).padStart(6)} ${event} ${words.join(' ')}`;
    });
    writeFileSync(this.path, `${lines.join('\n')}\n`);
  }
}
