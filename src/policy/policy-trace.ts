/** A recorded trace: what a router's policies saw, one JSON object a line, to try other policies on. */
import { z } from 'zod';
import { TernmountError } from '../errors/ternmount-error.js';
import { PRIORITY_CLASSES } from '../model/service.js';

const countSchema = z.number().min(0);

const upstreamSchema = z.object({
  id: z.string(),
  zone: z.string(),
  inFlight: countSchema,
  slots: countSchema,
  load: countSchema,
  serviceMillis: countSchema,
});

/** One look of a policy at one request. */
export const policyTraceRecordSchema = z.object({
  /** Milliseconds since the Unix epoch. */
  at: z.number(),
  context: z.object({
    request: z.object({
      class: z.enum(PRIORITY_CLASSES),
      method: z.string(),
      key: z.string(),
      service: z.string(),
      attempt: countSchema,
    }),
    queue: z.object({ length: countSchema, limit: countSchema }),
    load: countSchema,
    zone: z.string(),
    deadline: z.object({ remainingMillis: z.number() }),
  }),
  /** Upstreams of the service that took work then. */
  upstreams: z.array(upstreamSchema),
  /** What the policy in force decided. */
  decision: z.enum(['pass', 'refuse', 'hold']),
});

/** One look of a policy at one request. */
export type PolicyTraceRecord = z.infer<typeof policyTraceRecordSchema>;

/** A line of a trace is none of its records. */
export class PolicyTraceError extends TernmountError {
  constructor(source: string, line: number, problem: string) {
    const options = { code: 'TERNMOUNT_POLICY_TRACE', retriable: false, info: { source, line } };
    super(options, `${source}:${line}: ${problem}`);
  }
}

/** Reads a trace; `source` stands in messages. Throws `PolicyTraceError`. */
export function parsePolicyTrace(source: string, text: string): PolicyTraceRecord[] {
  return text.split('\n').flatMap((line, index) => {
    return line.trim() === '' ? [] : [parseRecord(source, line, index + 1)];
  });
}

function parseRecord(source: string, line: string, number: number): PolicyTraceRecord {
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch {
    throw new PolicyTraceError(source, number, 'is no JSON');
  }
  const parsed = policyTraceRecordSchema.safeParse(value);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    throw new PolicyTraceError(source, number, `${issue?.path.join('.')}: ${issue?.message}`);
  }
  return parsed.data;
}
