/** Binary encoding of peer messages. */
import {Packr} from 'msgpackr';

const packr = new Packr({useRecords: false});

/**
 * Encoder for both ends of a peer connection. MessagePack carries snapshots
 * as bytes and is about half the size of JSON on heartbeats.
 */
export const PEER_ENCODER = {
  encode(data: unknown): Uint8Array<ArrayBuffer> {
    // `pack` never reuses the bytes that it returned, so no copy is needed.
    return packr.pack(data) as Uint8Array<ArrayBuffer>;
  },
  decode(data: string | ArrayBuffer | Uint8Array): unknown {
    if (typeof data === 'string') return JSON.parse(data);
    return packr.unpack(
      data instanceof Uint8Array ? data : new Uint8Array(data),
    );
  },
};

/** The encoder carries all types that peers send, so nothing is converted. */
export const PEER_TRANSFORMER = {
  serialize: (value: unknown): unknown => value,
  deserialize: (value: unknown): unknown => value,
};
