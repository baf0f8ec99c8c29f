/** Pulls the control log on instances that do not vote in it. */
import type {
  ControlCommand,
  ControlResult,
  FetchedLog,
  LogFollower,
} from '@mustardferry/coordination';
import type {InstanceSettings} from '@mustardferry/model';
import type {Logger} from '@mustardferry/runtime';

import type {PeerNetwork} from '../peers/peer_network.js';

/** Options of a puller. */
export interface ControlPullerOptions {
  readonly settings: InstanceSettings;
  readonly network: PeerNetwork;
  readonly follower: LogFollower<ControlCommand, ControlResult>;
  readonly logger: Logger;
  readonly onChange: () => void;
}

/** How long a source may hold a reply while nothing is new, in ms. */
export const FETCH_WAIT_MS = 5_000;
/** Time beyond the hold after which a silent source is given up, in ms. */
const FETCH_MARGIN_MS = 1_000;
const RETRY_MS = 200;

/** Long-polls one source at a time and moves on when it fails. */
export class ControlPuller {
  private closed = false;
  private position = 0;

  constructor(private readonly options: ControlPullerOptions) {}

  start(): void {
    void this.pullForever();
  }

  close(): void {
    this.closed = true;
  }

  private async pullForever(): Promise<void> {
    while (!this.closed) {
      if (await this.pullOnce()) continue;
      this.position += 1;
      await new Promise(resolve => setTimeout(resolve, RETRY_MS));
    }
  }

  private async pullOnce(): Promise<boolean> {
    const {network, follower, logger, onChange} = this.options;
    const sources = this.sources();
    const source = sources[this.position % Math.max(1, sources.length)];
    if (source === undefined) return false;
    const sentAt = performance.now();
    try {
      const reply = await network.call(
        source,
        FETCH_WAIT_MS + FETCH_MARGIN_MS,
        client =>
          client.fetchControl.query({
            afterIndex: follower.appliedIndex,
            waitMs: FETCH_WAIT_MS,
          }),
      );
      const page = reply.page as FetchedLog<ControlCommand>;
      if (follower.applyFetched(page, sentAt)) onChange();
      return true;
    } catch (err) {
      logger.debug('control-pull-failed', {source, err});
      return false;
    }
  }

  /**
   * Voters that are up, those of this data centre first; without any, other
   * instances of this data centre, which may hold a newer state.
   */
  private sources(): readonly string[] {
    const {settings, network} = this.options;
    const up = settings.instances.filter(
      ({name}) => name !== settings.name && network.isUp(name),
    );
    const voters = up.filter(({name}) => settings.controlVoters.includes(name));
    const near = voters.filter(
      ({dataCentre}) => dataCentre === settings.dataCentre,
    );
    const pick = near.length > 0 ? near : voters.length > 0 ? voters : up;
    return pick.map(({name}) => name);
  }
}
