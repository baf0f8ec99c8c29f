/** Runs the core: handles one event at a time and ticks at its deadlines. */
import {setImmediate} from 'node:timers';

import type {LogEffect, LogEvent} from './core_events.js';
import {
  createInitialState,
  type InitialStateOptions,
  type LogCoreConfig,
  type LogCoreState,
} from './core_state.js';
import {step} from './step.js';

type OmitClock<E> = E extends unknown ? Omit<E, 'now' | 'random'> : never;

/** Event to dispatch; the runner adds `now` and `random`. */
export type LogEventInput<C> = OmitClock<LogEvent<C>>;

export interface CoreRunnerOptions<C> {
  readonly cfg: LogCoreConfig;
  readonly start: Omit<InitialStateOptions<C>, 'now' | 'random'>;
  readonly random: () => number;
  /** Called after each step, with the state before it. */
  readonly onStep: (
    event: LogEvent<C>,
    before: LogCoreState<C>,
    effects: readonly LogEffect<C>[],
  ) => void;
  /** Called after each tick, when its effects have been carried out. */
  readonly onTick: () => void;
}

/** Holds the core state of one member and applies events to it. */
export class CoreRunner<C> {
  private readonly options: CoreRunnerOptions<C>;
  private readonly pendingEvents: LogEventInput<C>[] = [];
  private current: LogCoreState<C>;
  private running = false;
  private closed = false;
  private timer: NodeJS.Timeout | null = null;
  private timerDeadline = Number.POSITIVE_INFINITY;

  constructor(options: CoreRunnerOptions<C>) {
    this.options = options;
    const start = {...options.start, ...this.readClock()};
    this.current = createInitialState(start, options.cfg);
  }

  get state(): LogCoreState<C> {
    return this.current;
  }

  /** Handles an event, or queues it if called during a step. */
  dispatch(event: LogEventInput<C>): void {
    if (this.closed) return;
    this.pendingEvents.push(event);
    if (this.running) return;
    this.running = true;
    try {
      this.drain();
    } finally {
      this.running = false;
    }
    if (!this.closed) this.scheduleTick();
  }

  /**
   * Queues an event ahead of all pending ones. Must be called during a step, as
   * it does not start the processing of the queue.
   */
  dispatchNext(event: LogEventInput<C>): void {
    this.pendingEvents.unshift(event);
  }

  /** Sets the timer to the next deadline unless it already fires earlier. */
  scheduleTick(): void {
    const {role, heartbeatDeadline, electionDeadline} = this.current;
    const deadline = role === 'leader' ? heartbeatDeadline : electionDeadline;
    if (this.timer && this.timerDeadline <= deadline) return;
    if (this.timer) clearTimeout(this.timer);
    const delay = Math.max(0, Math.ceil(deadline - performance.now()));
    this.timerDeadline = deadline;
    this.timer = setTimeout(() => this.handleDeadline(), delay);
  }

  close(): void {
    this.closed = true;
    if (this.timer) clearTimeout(this.timer);
  }

  /**
   * Node.js runs expired timers before it polls for I/O. After a delayed
   * iteration of the event loop, messages from the leader may still be unread,
   * so a follower ticks only after the poll phase. A leader ticks at once:
   * heartbeats sent after the poll phase would leave one iteration later.
   */
  private handleDeadline(): void {
    if (this.current.role === 'leader') this.tick();
    else setImmediate(() => this.tick());
  }

  private tick(): void {
    this.timer = null;
    this.dispatch({type: 'tick'});
    if (!this.closed) this.options.onTick();
  }

  private drain(): void {
    for (
      let next = this.pendingEvents.shift();
      next;
      next = this.pendingEvents.shift()
    ) {
      if (this.closed) return;
      const before = this.current;
      const event = {...next, ...this.readClock()} as LogEvent<C>;
      const {state, effects} = step(before, event, this.options.cfg);
      this.current = state;
      this.options.onStep(event, before, effects);
    }
  }

  private readClock(): {readonly now: number; readonly random: number} {
    return {now: performance.now(), random: this.options.random()};
  }
}
