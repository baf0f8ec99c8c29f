/** Decides whether an owner may send orders, and logs pauses. */
import type {Logger} from '@mustardferry/runtime';

/** Why an owner may not send orders. */
export type OrderObstacle = 'closed' | 'superseded' | 'paused' | 'lease-over';

/** Longer pauses are logged; each late heartbeat may cause a shorter one. */
const PAUSE_REPORT_DELAY_MS = 100;

/** Logs one line at the start and one at the end of each longer pause. */
export class OrderGate {
  private pausedAt = 0;
  private reportedCause: OrderObstacle | null = null;
  private timer: NodeJS.Timeout | null = null;

  /** @param obstacle Returns why orders may not be sent now, or null. */
  constructor(
    private readonly logger: Logger,
    private readonly term: number,
    private readonly obstacle: () => OrderObstacle | null,
  ) {}

  /** Whether orders may be sent now. */
  maySendOrders(): boolean {
    const cause = this.obstacle();
    if (cause === null && this.timer) this.resume();
    else if (cause !== null && cause !== 'closed') this.pause();
    return cause === null;
  }

  close(): void {
    if (this.timer) clearInterval(this.timer);
    this.timer = null;
  }

  private pause(): void {
    if (this.timer) return;
    this.pausedAt = performance.now();
    this.timer = setInterval(() => this.check(), PAUSE_REPORT_DELAY_MS);
  }

  private check(): void {
    const cause = this.obstacle();
    if (cause === null) return this.resume();
    if (this.reportedCause !== null) return;
    this.reportedCause = cause;
    this.logger.warn('orders-paused', {term: this.term, cause});
  }

  private resume(): void {
    this.close();
    if (this.reportedCause === null) return;
    this.logger.info('orders-resumed', {
      term: this.term,
      cause: this.reportedCause,
      pausedMs: Math.round(performance.now() - this.pausedAt),
    });
    this.reportedCause = null;
  }
}
