/** Transfer of leadership: the recipient starts an election immediately. */
import type { TimeoutNow } from '../../consensus/types.js';
import { safeInteger, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const timeoutNowCodec = defineMessage<TimeoutNow>(FRAME_KINDS.timeoutNow, 'timeout-now', {
  from: text,
  to: text,
  term: safeInteger,
});
