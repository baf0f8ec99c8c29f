/** Process that relays the connections between places. */
import {serveParent} from '../cluster/role_process.js';
import {Relay, type RelayFault, type RelayLink} from './relay.js';

const relay = new Relay();

serveParent({
  open: (links: readonly RelayLink[]) => relay.open(links),
  inject: (fault: RelayFault) => relay.inject(fault),
  counts: () => relay.counts(),
});
