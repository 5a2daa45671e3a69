/** Codecs between one type of message and the payload of one kind of frame. */
import * as restructure from 'restructure';
import { toError } from '../errors/ternmount-error.js';
import { MalformedFrameError } from './wire-error.js';

export interface MessageCodec<Message> {
  /** Kind of the frames of this message. */
  readonly kind: number;
  readonly type: string;
  encode(message: Message): Uint8Array;
  /** Throws `MalformedFrameError` unless the payload is exactly one message. */
  decode(payload: Uint8Array): Message;
}

/** Defines the codec of the message `type`. Its fields are encoded in the order of `fields`. */
export function defineMessage<Message extends { readonly type: string }>(
  kind: number,
  type: Message['type'],
  fields: restructure.Fields<Omit<Message, 'type'>>,
): MessageCodec<Message> {
  const struct = new restructure.Struct<Omit<Message, 'type'>>(fields);
  return {
    kind,
    type,
    encode: (message) => struct.toBuffer(message),
    decode: (payload) => {
      const body = decodeWhole(struct, payload);
      return { type, ...body } as Message;
    },
  };
}

/** Decodes a value that must fill the payload. */
export function decodeWhole<Value>(type: restructure.FieldType<Value>, payload: Uint8Array): Value {
  const stream = new restructure.DecodeStream(payload);
  let value: Value;
  try {
    value = type.decode(stream);
  } catch (thrown) {
    if (thrown instanceof MalformedFrameError) {
      throw thrown;
    }
    throw new MalformedFrameError(
      `message truncated in a payload of ${payload.length} bytes`,
      toError(thrown),
    );
  }
  if (stream.pos !== payload.length) {
    throw new MalformedFrameError(
      `message ends at byte ${stream.pos} of a payload of ${payload.length} bytes`,
    );
  }
  return value;
}

/** Encodes by message type and decodes by kind of frame. */
export class MessageCodecSet<Message extends { readonly type: string }> {
  private readonly byType = new Map<string, MessageCodec<Message>>();
  private readonly byKind = new Map<number, MessageCodec<Message>>();

  constructor(codecs: readonly MessageCodec<Message>[]) {
    for (const codec of codecs) {
      this.byType.set(codec.type, codec);
      this.byKind.set(codec.kind, codec);
    }
  }

  /** Whether the set has a codec for frames of this kind. */
  hasKind(kind: number): boolean {
    return this.byKind.has(kind);
  }

  encode(message: Message): { readonly kind: number; readonly payload: Uint8Array } {
    const codec = this.byType.get(message.type);
    if (codec === undefined) {
      throw new MalformedFrameError(`no codec for message ${message.type}`);
    }
    return { kind: codec.kind, payload: codec.encode(message) };
  }

  decode(kind: number, payload: Uint8Array): Message {
    const codec = this.byKind.get(kind);
    if (codec === undefined) {
      throw new MalformedFrameError(`no codec for frames of kind ${kind}`);
    }
    return codec.decode(payload);
  }
}
