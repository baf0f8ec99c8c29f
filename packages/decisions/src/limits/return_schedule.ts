/**
 * Decides when a refused caller should come back.
 *
 * Load pattern: a burst above the capacity of a pool, of which a part is
 * refused within a short time. With the same Retry-After for all of them, the
 * callers return together, as a second wave above the capacity, and are refused
 * again. Here each refusal reserves a part of the capacity that is expected to
 * be spare in a later second, and the next one gets what is left.
 */

/** A refused request. Times are in ms on one time base. */
export interface RefusedRequest {
  readonly now: number;
  /** Work that the request would take, in any unit. */
  readonly work: number;
  /** Work that the pool does per ms at full utilization. */
  readonly capacityPerMs: number;
  /** Work that arrives per ms, refused requests included. */
  readonly demandPerMs: number;
  /** Time that the pool needs for the work that is queued already. */
  readonly backlogMs: number;
  /** Response time that the caller aims at. */
  readonly objectiveMs: number;
}

/** Longest time in s that a caller is told to stay away. */
export const MAX_RETRY_AFTER_S = 30;

/**
 * Least fraction of the capacity that counts as spare. While demand exceeds the
 * capacity nothing is spare, and callers that stay away for ever are not served
 * either.
 */
const MIN_SPARE_FRACTION = 0.05;

const MS_PER_S = 1_000;

/** Capacity of later seconds that is reserved for callers that come back. */
export class ReturnSchedule {
  /** Reserved work, by second of that time base. */
  private readonly reserved = new Map<number, number>();
  private firstSecond = 0;

  /**
   * Reserves capacity for a refused request.
   *
   * @returns Time until it should come back, in whole s as in the header
   *     Retry-After (RFC 9110, section 10.2.3). Requests keep their offsets
   *     within a second, so that those of one second don't return together.
   */
  reserve(req: RefusedRequest): number {
    const second = Math.floor(req.now / MS_PER_S);
    this.forgetBefore(second);
    const spare = computeSparePerSecond(req);
    const earliest = findEarliest(req);
    let best = earliest;
    for (let after = earliest; after <= MAX_RETRY_AFTER_S; after++) {
      const taken = this.getReserved(second + after);
      if (taken === 0 || taken + req.work <= spare) {
        best = after;
        break;
      }
      if (taken < this.getReserved(second + best)) best = after;
    }
    const total = this.getReserved(second + best) + req.work;
    this.reserved.set(second + best, total);
    return best;
  }

  private getReserved(second: number): number {
    return this.reserved.get(second) ?? 0;
  }

  private forgetBefore(second: number): void {
    if (second === this.firstSecond) return;
    this.firstSecond = second;
    for (const key of this.reserved.keys()) {
      if (key < second) this.reserved.delete(key);
    }
  }
}

function computeSparePerSecond(req: RefusedRequest): number {
  const {capacityPerMs, demandPerMs} = req;
  const least = MIN_SPARE_FRACTION * capacityPerMs;
  return Math.max(capacityPerMs - demandPerMs, least) * MS_PER_S;
}

/**
 * Callers with longer objectives can wait longer, so they leave the first
 * seconds to the urgent ones.
 */
function findEarliest({backlogMs, objectiveMs}: RefusedRequest): number {
  const backlogS = Math.ceil(backlogMs / MS_PER_S);
  const patienceS = Math.floor(objectiveMs / MS_PER_S);
  const earliest = Math.max(1, backlogS) + patienceS;
  return Math.min(earliest, MAX_RETRY_AFTER_S);
}
