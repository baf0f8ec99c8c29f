/** Reports the times in which an owner gives no orders. */
import type {Logger} from '@mustardferry/runtime';

/** Why an owner gives no orders. */
export type OrderObstacle = 'closed' | 'superseded' | 'paused' | 'lease-over';

/** Time in ms after which a pause is reported: a third of a lease. */
const REPORT_AFTER_MS = 100;

/** Writes one line at the begin and one at the end of each longer pause. */
export class OrderingWatch {
  private since = 0;
  private reported: OrderObstacle | null = null;
  private timer: NodeJS.Timeout | null = null;

  /** @param obstacle Tells what keeps the owner from orders now, if anything. */
  constructor(
    private readonly logger: Logger,
    private readonly term: number,
    private readonly obstacle: () => OrderObstacle | null,
  ) {}

  /** Whether orders may be given now. */
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
    this.since = performance.now();
    this.timer = setInterval(() => this.check(), REPORT_AFTER_MS);
  }

  private check(): void {
    const cause = this.obstacle();
    if (cause === null) return this.resume();
    if (this.reported !== null) return;
    this.reported = cause;
    this.logger.warn('orders-paused', {term: this.term, cause});
  }

  private resume(): void {
    this.close();
    if (this.reported === null) return;
    this.logger.info('orders-resumed', {
      term: this.term,
      cause: this.reported,
      pausedMs: Math.round(performance.now() - this.since),
    });
    this.reported = null;
  }
}
