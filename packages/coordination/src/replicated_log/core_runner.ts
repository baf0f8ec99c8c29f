/** Feeds events to the core one at a time, and ticks at its deadlines. */
import {setImmediate} from 'node:timers';

import type {LogEffect, LogEvent} from './core_events.js';
import {
  createInitialState,
  type InitialStateOptions,
  type LogCoreConfig,
  type LogCoreState,
} from './core_state.js';
import {step} from './step.js';

type WithoutClock<E> = E extends unknown ? Omit<E, 'now' | 'random'> : never;

/** Event of the core; the runner adds time and randomness. */
export type UnclockedEvent<C> = WithoutClock<LogEvent<C>>;

/** Options of the runner. */
export interface CoreRunnerOptions<C> {
  readonly cfg: LogCoreConfig;
  readonly start: Omit<InitialStateOptions<C>, 'now' | 'random'>;
  readonly random: () => number;
  /** Called after each step with its event and the state before it. */
  readonly onStep: (
    event: LogEvent<C>,
    before: LogCoreState<C>,
    effects: readonly LogEffect<C>[],
  ) => void;
  /** Called after each tick. */
  readonly onTick: () => void;
}

/** Owns the core state of one member. */
export class CoreRunner<C> {
  private readonly options: CoreRunnerOptions<C>;
  private readonly events: UnclockedEvent<C>[] = [];
  private current: LogCoreState<C>;
  private running = false;
  private closed = false;
  private timer: NodeJS.Timeout | null = null;
  private timerAt = Number.POSITIVE_INFINITY;

  constructor(options: CoreRunnerOptions<C>) {
    this.options = options;
    const start = {...options.start, ...this.clock()};
    this.current = createInitialState(start, options.cfg);
  }

  get state(): LogCoreState<C> {
    return this.current;
  }

  /** Handles an event, after those being handled when called from a step. */
  dispatch(event: UnclockedEvent<C>): void {
    if (this.closed) return;
    this.events.push(event);
    if (this.running) return;
    this.running = true;
    try {
      this.drain();
    } finally {
      this.running = false;
    }
    if (!this.closed) this.schedule();
  }

  /** Puts an event before all waiting ones; only for calls from a step. */
  dispatchNext(event: UnclockedEvent<C>): void {
    this.events.unshift(event);
  }

  /** Arms the timer for the next deadline unless it fires earlier anyway. */
  schedule(): void {
    const {role, heartbeatDue, electionDeadline} = this.current;
    const due = role === 'leader' ? heartbeatDue : electionDeadline;
    if (this.timer && this.timerAt <= due) return;
    if (this.timer) clearTimeout(this.timer);
    const delay = Math.max(0, Math.ceil(due - performance.now()));
    this.timerAt = due;
    this.timer = setTimeout(() => this.due(), delay);
  }

  close(): void {
    this.closed = true;
    if (this.timer) clearTimeout(this.timer);
  }

  /**
   * Timers run before input is read, so after a late turn of the event loop
   * the messages that break a silence may not have been taken yet. Heartbeats
   * don't wait: what is sent after reading leaves a whole turn later.
   */
  private due(): void {
    if (this.current.role === 'leader') this.tick();
    else setImmediate(() => this.tick());
  }

  private tick(): void {
    this.timer = null;
    this.dispatch({type: 'tick'});
    if (!this.closed) this.options.onTick();
  }

  private drain(): void {
    for (let next = this.events.shift(); next; next = this.events.shift()) {
      if (this.closed) return;
      const before = this.current;
      const event = {...next, ...this.clock()} as LogEvent<C>;
      const {state, effects} = step(before, event, this.options.cfg);
      this.current = state;
      this.options.onStep(event, before, effects);
    }
  }

  private clock(): {readonly now: number; readonly random: number} {
    return {now: performance.now(), random: this.options.random()};
  }
}
