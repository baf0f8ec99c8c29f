/** What was sent, answered and run, and the rules that this shows as broken. */
import {createWriteStream} from 'node:fs';
import {performance} from 'node:perf_hooks';

/** Collects events, and writes each to the record. */
export class Ledger {
  broken = [];
  jobs = new Map();
  /** Runs in progress, by task. */
  active = new Map();
  /** Runs that ended as done or failed, by task. */
  ends = new Map();
  /** Starts of tasks of which a run had ended as done, or failed too often. */
  lateStarts = [];
  counts = {started: 0, refused: 0, overlaps: 0};

  /** @param path File of the record. */
  constructor(path) {
    this.file = createWriteStream(path);
    this.beganAt = performance.now();
  }

  get now() {
    return Math.round(performance.now() - this.beganAt);
  }

  note(event, fields = {}) {
    const at = String(this.now).padStart(6);
    const text = Object.entries(fields)
      .map(([key, value]) => `${key}=${JSON.stringify(value)}`)
      .join(' ');
    this.file.write(`${at} ${event} ${text}\n`);
  }

  /** Notes that a rule was broken. */
  fault(rule, fields) {
    this.broken.push({rule, at: this.now, ...fields});
    this.note(`BROKEN ${rule}`, fields);
  }

  jobOf(task) {
    return this.jobs.get(task.split('.')[0]);
  }

  began(worker) {
    this.note('worker-began', {worker: worker.id, life: worker.lives});
  }

  crashed(worker) {
    this.note('worker-crashed', {worker: worker.id, life: worker.lives});
  }

  /** Ends that were listed before a lapse are not taken note of after it. */
  lapsed(worker) {
    for (const list of this.ends.values()) {
      for (const end of list) {
        if (end.worker === worker && !end.notedAt) end.isLapsed = true;
      }
    }
    this.note('lease-lapsed', {worker: worker.id});
  }

  started(worker, task, run) {
    this.counts.started++;
    const fields = {task, run: run.number, worker: worker.id};
    this.note('run-started', {...fields, token: run.token});
    const others = this.active.get(task) ?? new Set();
    for (const other of others) {
      this.counts.overlaps++;
      this.fault('TWICE', {...fields, also: other.worker.id});
    }
    run.worker = worker;
    this.active.set(task, others.add(run));
    const earlier = this.ends.get(task) ?? [];
    if (earlier.length > 0) {
      this.lateStarts.push({...fields, at: this.now, earlier: [...earlier]});
    }
    this.onStarted?.(worker, task, run);
  }

  refused(worker, task, run, reason) {
    this.counts.refused++;
    this.note('start-refused', {task, run, worker: worker.id, reason});
  }

  ended(worker, task, run, how) {
    this.active.get(task)?.delete(run);
    this.note('run-ended', {task, run: run.number, worker: worker.id, how});
    if (how !== 'done' && how !== 'failed') return;
    const list = this.ends.get(task) ?? [];
    this.ends.set(task, list);
    list.push({worker, run: run.number, how, at: this.now, life: worker.lives});
  }

  /** An end is taken note of. */
  noted(worker, task, run, how) {
    this.note('end-noted', {task, run, worker: worker.id, how});
    const end = (this.ends.get(task) ?? []).find(
      each =>
        each.worker === worker &&
        each.run === run &&
        each.life === worker.lives,
    );
    if (end) end.notedAt = this.now;
  }

  /** Checks what can be judged at the end only. */
  finish() {
    for (const {earlier, ...start} of this.lateStarts) {
      const job = this.jobOf(start.task);
      if (!job?.durable) continue;
      const counted = earlier.filter(each => each.notedAt && !each.isLapsed);
      const done = counted.find(({how}) => how === 'done');
      if (!done) continue;
      this.fault('TWICE', {
        ...start,
        doneOn: done.worker.id,
        doneAt: done.at,
        notedAt: done.notedAt,
      });
    }
  }

  close() {
    return new Promise(resolve => this.file.end(resolve));
  }
}
