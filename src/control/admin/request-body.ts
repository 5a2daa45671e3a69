/** Reads the JSON body of a request up to a size limit and validates it. */
import type { z } from 'zod';
import { toError } from '../../errors/ternmount-error.js';
import { describeIssue, formatPath, valueAt } from '../../settings/yaml-source.js';
import { JoinedPieces } from '../../wire/http/joined-pieces.js';
import type { AdminContext } from './admin-context.js';
import { AdminError, type AdminErrorCode } from './admin-error.js';

async function readBytes(context: AdminContext, limit: number): Promise<Buffer> {
  const tooLarge = () => new AdminError('body-too-large', `the body is longer than ${limit} bytes`);
  if ((context.request.length ?? 0) > limit) {
    throw tooLarge();
  }
  const pieces = new JoinedPieces();
  let bytes = 0;
  try {
    for await (const chunk of context.req) {
      const buffer = chunk as Buffer;
      bytes += buffer.length;
      if (bytes > limit) {
        throw tooLarge();
      }
      pieces.add(buffer);
    }
  } catch (thrown) {
    if (thrown instanceof AdminError) {
      throw thrown;
    }
    throw new AdminError('invalid-request', 'the body ended early', {}, { cause: toError(thrown) });
  }
  return Buffer.concat(pieces.all);
}

/** Reads a JSON body; an empty body is read as an empty object. Throws `AdminError`. */
export async function readJson(context: AdminContext, limit: number): Promise<unknown> {
  const bytes = await readBytes(context, limit);
  if (bytes.length === 0) {
    return {};
  }
  if (context.request.type !== '' && !context.request.is('json')) {
    throw new AdminError('unsupported-media-type', 'the body must be application/json');
  }
  try {
    return JSON.parse(bytes.toString('utf8')) as unknown;
  } catch (thrown) {
    const cause = toError(thrown);
    throw new AdminError('invalid-request', `the body isn't JSON: ${cause.message}`, {}, { cause });
  }
}

function describeProblems(issue: z.core.$ZodIssue, input: unknown): string[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => `${formatPath([...issue.path, key])}: unknown key`);
  }
  const path = issue.path.length === 0 ? 'body' : formatPath(issue.path);
  return [`${path}: ${describeIssue(issue, valueAt(input, issue.path))}`];
}

/** Validates a value against a schema. Throws an `AdminError` that contains the path. */
export function checkBody<Output>(
  schema: z.ZodType<Output>,
  value: unknown,
  code: AdminErrorCode = 'invalid-request',
): Output {
  const result = schema.safeParse(value);
  if (result.success) {
    return result.data;
  }
  const problems = result.error.issues.flatMap((issue) => describeProblems(issue, value));
  const [first = 'wrong body'] = problems;
  const path = formatPath(result.error.issues[0]?.path ?? []);
  throw new AdminError(code, first, { path, problems });
}
