/** A recorded trace of policy inputs in a router, one JSON object per line, for evaluating other policies on it. */
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

/** One evaluation of a policy for one request. */
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
  /** Upstreams of the service that accepted requests at that time. */
  upstreams: z.array(upstreamSchema),
  /** Decision of the policy in force. */
  decision: z.enum(['pass', 'refuse', 'hold']),
});

/** One evaluation of a policy for one request. */
export type PolicyTraceRecord = z.infer<typeof policyTraceRecordSchema>;

/** Thrown for a line of a trace that isn't a valid record. */
export class PolicyTraceError extends TernmountError {
  constructor(source: string, line: number, problem: string) {
    const options = { code: 'TERNMOUNT_POLICY_TRACE', retriable: false, info: { source, line } };
    super(options, `${source}:${line}: ${problem}`);
  }
}

/** Parses a trace; `source` is the name used in error messages. Throws `PolicyTraceError`. */
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
