/** The leader's response to a report of upstreams without keys. */
import * as restructure from 'restructure';
import type { FleetUpdate } from '../../control/messages.js';
import type { FleetViewVersion, UpstreamSpeed, ZoneCapacity } from '../../model/fleet-view.js';
import { flag, json, list, real, safeInteger, text } from '../fields.js';
import { FRAME_KINDS } from '../frame.js';
import { defineMessage } from '../message-codec.js';

const versionField = new restructure.Struct<FleetViewVersion>({ term: safeInteger, number: safeInteger });
const speedField = new restructure.Struct<UpstreamSpeed>({ upstream: text, speed: real });

export const fleetUpdateCodec = defineMessage<FleetUpdate>(FRAME_KINDS.fleetNews, 'fleet-news', {
  version: versionField,
  isWhole: flag,
  speeds: list(speedField),
  zones: json<readonly ZoneCapacity[]>(),
});
