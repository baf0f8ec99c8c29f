/** Operators' requests to evacuate or readmit a data centre. */
import type {Logger} from '@mustardferry/runtime';

import type {Call, Reply} from '../messages/calls.js';
import {ArrivalClock, type MessageArrival} from './arrival_clock.js';
import type {CallOutcome} from './call_outcome.js';

/** Request of an operator that any instance may receive. */
export interface EvacuationRequest {
  readonly dataCentre: string;
  /** Whether the data centre is to be evacuated, or readmitted. */
  readonly evacuated: boolean;
  readonly operator: string;
  /** Whether the operator has closed its connection. */
  readonly hasLeft: () => boolean;
}

/** Outcome of a request. */
export type EvacuationOutcome =
  /** The requested state is durably in force. */
  | 'in-force'
  /** Nothing was changed, and nothing will be. */
  | 'unknown-data-centre'
  /** The operator has moved on to another instance; no change was sent. */
  | 'too-late'
  /** Another change came first, and the requested state does not hold. */
  | 'conflict'
  /** No reply came in time; a change that was sent may still take effect. */
  | 'unanswered';

/** Options of the requests of one instance. */
export interface EvacuationRequestsOptions {
  /** Sends a call to the leader while it is wanted. */
  readonly call: (
    call: Call,
    timeoutMs: number,
    isWanted: () => boolean,
  ) => Promise<CallOutcome>;
  /** Data centres that operators may name. */
  readonly getKnownDataCentres: () => readonly string[];
  readonly logger: Logger;
}

/** Operators move on to another instance after a second without a reply. */
const REQUEST_TIMEOUT_MS = 1_000;

/**
 * Reads the revision of a data centre's record, then changes the record based
 * on it. A request carries no sequence number, so that one which arrives late
 * could undo a newer one that was acknowledged elsewhere: it must not read the
 * revision again once its operator has moved on.
 */
export class EvacuationRequests {
  readonly name = 'evacuation-requests';
  private readonly arrivalClock = new ArrivalClock();

  constructor(private readonly options: EvacuationRequestsOptions) {}

  /** Carries out a request that has just been read. */
  async handle(request: EvacuationRequest): Promise<EvacuationOutcome> {
    const {dataCentre, evacuated, operator} = request;
    const arrival = this.arrivalClock.arrivalNow;
    const outcome = await this.findOutcome(request, arrival);
    this.options.logger.info('evacuation-answered', {
      dataCentre,
      evacuated,
      operator,
      outcome,
      ageMs: Math.round(arrival.ageMs),
    });
    return outcome;
  }

  close(): void {
    this.arrivalClock.close();
  }

  private async findOutcome(
    request: EvacuationRequest,
    arrival: MessageArrival,
  ): Promise<EvacuationOutcome> {
    const {dataCentre, evacuated, operator} = request;
    const isKnown = this.options.getKnownDataCentres().includes(dataCentre);
    if (!isKnown) return 'unknown-data-centre';
    const isWanted = () =>
      arrival.ageMs <= REQUEST_TIMEOUT_MS && !request.hasLeft();
    const read = await this.send({type: 'read-evacuations'}, arrival, isWanted);
    if (read?.type !== 'evacuations') return 'unanswered';
    if (!isWanted()) return 'too-late';
    const record = read.records.find(each => each.dataCentre === dataCentre);
    // A state that holds is ordered as well: that raises the revision, so that
    // an older, contrary request which is still under way is discarded.
    const basedOn = record?.revision ?? 0;
    const reply = await this.send(
      {type: 'evacuate', dataCentre, evacuated, basedOn, operator},
      arrival,
      isWanted,
    );
    if (reply?.type === 'evacuation') return 'in-force';
    return reply?.type === 'evacuation-conflict' ? 'conflict' : 'unanswered';
  }

  /** Returns the reply, or null if none arrives in time. */
  private async send(
    call: Call,
    arrival: MessageArrival,
    isWanted: () => boolean,
  ): Promise<Reply | null> {
    const leftMs = REQUEST_TIMEOUT_MS - arrival.ageMs;
    const outcome = await this.options.call(call, leftMs, isWanted);
    return outcome.type === 'replied' ? outcome.reply : null;
  }
}
