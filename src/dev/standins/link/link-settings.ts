/** Settings and commands of a stand-in link. */
import { z } from 'zod';

/** An address that the link listens on, and the target process. */
const routeSchema = z.strictObject({
  listen: z.string().min(1),
  target: z.string().min(1),
  targetZone: z.string().min(1),
});

export const linkSettingsSchema = z.strictObject({
  /** `host:port` of the HTTP endpoint for commands. */
  control: z.string().min(1),
  seed: z.number().int().default(1),
  /** IP addresses of processes, which identify the zone that a connection comes from. */
  zones: z.record(z.string(), z.array(z.string())),
  routes: z.array(routeSchema),
  /** One-way delay between different zones, in milliseconds. */
  delayMillis: z.number().min(0).default(0),
  /** The zone of callers and the delay of their connections. */
  clients: z.strictObject({ zone: z.string().min(1), delayMillis: z.number().min(0) }).optional(),
});

/** Rule for traffic from one zone to another. */
export const linkRuleSchema = z.strictObject({
  from: z.string().min(1),
  to: z.string().min(1),
  /**
   * `open`: forward. `hold`: bytes from `from` to `to` wait until the direction opens again, like TCP retransmissions,
   * so connections hang half-open; the opposite direction is open. `refuse`: connections are reset and new ones refused.
   */
  state: z.enum(['open', 'hold', 'refuse']),
});

/** Share of the open connections that are ended in each interval. */
export const linkEndingsSchema = z.strictObject({ share: z.number().min(0).max(1) });

export type LinkSettings = z.infer<typeof linkSettingsSchema>;
export type LinkRoute = z.infer<typeof routeSchema>;
export type LinkRule = z.infer<typeof linkRuleSchema>;
