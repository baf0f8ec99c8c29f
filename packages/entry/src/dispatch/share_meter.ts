/** Measures the shares that teams received over a sliding window. */
import type {SharingPolicy, TeamUsage} from '@mustardferry/decisions';
import {
  NO_RESOURCES,
  type Policy,
  type Resources,
  type SharesView,
} from '@mustardferry/model';

/** Options of {@link ShareMeter}. */
export interface ShareMeterOptions {
  readonly dataCentre: string;
  readonly sharing: SharingPolicy;
  readonly policy: () => Policy;
  readonly capacity: () => Resources;
}

interface Sample {
  readonly atMs: number;
  readonly usage: ReadonlyMap<string, TeamUsage>;
}

const SAMPLE_PERIOD_MS = 500;
const WINDOW_MS = 10_000;

/** Samples the usage of teams and reports the share of each. */
export class ShareMeter {
  readonly name = 'share-meter';
  private samples: readonly Sample[] = [];
  private readonly refused = new Map<string, number>();
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: ShareMeterOptions) {
    this.timer = setInterval(
      () => this.takeSample(Date.now()),
      SAMPLE_PERIOD_MS,
    );
  }

  /** Counts a refused job of a team. */
  countRefusal(team: string): void {
    this.refused.set(team, (this.refused.get(team) ?? 0) + 1);
  }

  /** Shares of all teams at this instance over the window. */
  view(): SharesView {
    const {policy, dataCentre, capacity} = this.options;
    const first = this.samples[0];
    const last = this.samples.at(-1);
    const consumed = new Map(
      policy().teams.map(({team}) => [
        team,
        (last?.usage.get(team)?.dominantShareMs ?? 0) -
          (first?.usage.get(team)?.dominantShareMs ?? 0),
      ]),
    );
    const total = [...consumed.values()].reduce((sum, ms) => sum + ms, 0);
    return {
      dataCentre,
      windowMs: (last?.atMs ?? 0) - (first?.atMs ?? 0),
      capacity: capacity(),
      teams: policy().teams.map(({team, sharePercent}) => ({
        team,
        promisedPercent: sharePercent,
        receivedPercent:
          total === 0 ? 0 : (100 * (consumed.get(team) ?? 0)) / total,
        backloggedFraction: this.getBackloggedFraction(team),
        running: last?.usage.get(team)?.running ?? NO_RESOURCES,
        queuedTasks: last?.usage.get(team)?.queuedTasks ?? 0,
        refusedJobs: this.refused.get(team) ?? 0,
      })),
    };
  }

  close(): void {
    clearInterval(this.timer);
  }

  private getBackloggedFraction(team: string): number {
    const waiting = this.samples.filter(
      ({usage}) => (usage.get(team)?.queuedTasks ?? 0) > 0,
    );
    return waiting.length / Math.max(1, this.samples.length);
  }

  private takeSample(now: number): void {
    const usage = new Map(
      this.options.sharing.usage().map(each => [each.team, each]),
    );
    this.samples = [
      ...this.samples.filter(({atMs}) => now - atMs <= WINDOW_MS),
      {atMs: now, usage},
    ];
  }
}
