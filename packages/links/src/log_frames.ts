/** Compact form of the log messages that one stream carries. */
import type {LogMessage} from '@mustardferry/coordination';

import {PeerProtocolError} from './errors.js';
import type {LogEnvelope, PeerIdentity} from './peer_messages.js';

type RequiredKey<M> = {
  [K in keyof M]-?: undefined extends M[K] ? never : K;
}[keyof M];
type FieldsOf<M> = Readonly<
  Record<Exclude<RequiredKey<M>, 'type' | 'to'>, true>
>;
type MessageType = LogMessage['type'];

/**
 * Fields of each message in the order in which they are sent. The type makes
 * a required field that is missing here a compile error; optional ones are not
 * sent.
 */
const FIELDS: {
  readonly [T in MessageType]: FieldsOf<Extract<LogMessage, {type: T}>>;
} = {
  append: {
    term: true,
    prevIndex: true,
    prevTerm: true,
    entries: true,
    commit: true,
    round: true,
  },
  install: {term: true, snapshot: true, round: true},
  'append-reply': {
    term: true,
    ok: true,
    match: true,
    synced: true,
    disk: true,
    round: true,
  },
  vote: {
    term: true,
    pre: true,
    transfer: true,
    lastIndex: true,
    lastTerm: true,
  },
  'vote-reply': {term: true, pre: true, granted: true},
  'timeout-now': {term: true},
  join: {term: true},
};

/** Both ends run the same program, so they agree on this order. */
const TYPES = Object.keys(FIELDS) as MessageType[];
const FIELD_NAMES = TYPES.map(type => Object.keys(FIELDS[type]));

/**
 * One message: log, sender's incarnation, addressee's incarnation, the `to` of
 * the message (all as numbers of texts), type, fields.
 */
type PackedMessage = readonly unknown[];

/**
 * What one frame of a stream carries: its number, the texts that this frame
 * uses for the first time, and the messages.
 */
export type LogFrame = readonly [
  sequence: number,
  newTexts: readonly string[],
  ...messages: PackedMessage[],
];

/** Packs messages to one peer; lives as long as one stream. */
export class LogFrameWriter {
  private readonly numbers = new Map<string, number>();
  private newTexts: string[] = [];
  private sequence = 0;

  write(envelopes: readonly LogEnvelope[]): LogFrame {
    const messages = envelopes.map(envelope => this.pack(envelope));
    const frame: LogFrame = [this.sequence, this.newTexts, ...messages];
    this.sequence += 1;
    this.newTexts = [];
    return frame;
  }

  private pack({log, from, to, message}: LogEnvelope): PackedMessage {
    const fields = message as LogMessage & Readonly<Record<string, unknown>>;
    const type = TYPES.indexOf(fields.type);
    return [
      this.numberOf(log),
      this.numberOf(from.incarnation),
      this.numberOf(to.incarnation),
      this.numberOf(fields.to),
      type,
      ...(FIELD_NAMES[type] ?? []).map(name => fields[name]),
    ];
  }

  /** Log names and incarnations are long and few, so each is sent once. */
  private numberOf(text: string): number {
    const known = this.numbers.get(text);
    if (known !== undefined) return known;
    const number = this.numbers.size;
    this.numbers.set(text, number);
    this.newTexts.push(text);
    return number;
  }
}

/** Unpacks the frames of one stream. */
export class LogFrameReader {
  private readonly texts: string[] = [];
  private sequence = 0;

  /** `from` and `to` are the names of the two ends of the stream. */
  constructor(
    private readonly from: string,
    private readonly to: string,
  ) {}

  /**
   * @throws PeerProtocolError when a frame is missing or malformed; the stream
   *     must be opened again.
   */
  read([sequence, newTexts, ...messages]: LogFrame): LogEnvelope[] {
    if (sequence !== this.sequence) {
      throw new PeerProtocolError(
        `frame ${sequence} instead of ${this.sequence} from ${this.from}`,
      );
    }
    this.sequence += 1;
    this.texts.push(...newTexts);
    return messages.map(message => this.unpack(message));
  }

  private unpack(packed: PackedMessage): LogEnvelope {
    const [log, from, to, addressee, type, ...values] = packed;
    const names = FIELD_NAMES[type as number];
    if (names === undefined || names.length !== values.length) {
      throw new PeerProtocolError(`malformed message from ${this.from}`);
    }
    const message: Record<string, unknown> = {
      type: TYPES[type as number],
      to: this.text(addressee),
    };
    names.forEach((name, index) => (message[name] = values[index]));
    return {
      log: this.text(log),
      from: this.identity(this.from, from),
      to: this.identity(this.to, to),
      message,
    };
  }

  private identity(name: string, incarnation: unknown): PeerIdentity {
    return {name, incarnation: this.text(incarnation)};
  }

  private text(number: unknown): string {
    const found = this.texts[number as number];
    if (found === undefined) {
      throw new PeerProtocolError(`unknown text ${number} from ${this.from}`);
    }
    return found;
  }
}
