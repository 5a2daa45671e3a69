/** Hint that a new revision is available. */
import type { ChangeNotice } from '../../control/messages.js';
import { safeInteger } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

export const changeNoticeCodec = defineMessage<ChangeNotice>(FRAME_KINDS.changeNotice, 'change-notice', {
  revision: safeInteger,
});
