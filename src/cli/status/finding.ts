/** What the status page says of one thing that is wrong. */

/** `critical`: requests or changes fail, or one more loss makes them. `warning`: to be mended. `note`: good to know. */
export const SEVERITIES = ['critical', 'warning', 'note'] as const;

/** How soon somebody must look at it. */
export type Severity = (typeof SEVERITIES)[number];

/** One thing that `status` points out. */
export interface Finding {
  readonly severity: Severity;
  /** E.g. `control/r-1f3a` or `upstream/menu-7`. */
  readonly subject: string;
  readonly problem: string;
  /** At least this long; `null`: not known. */
  readonly sinceMillis: number | null;
  /** What to do. */
  readonly advice: string;
}

const CONTROL_SUBJECT = 'control';

/** Puts the worst first; among equals control, on which all else depends, then the oldest. */
export function sortFindings(findings: readonly Finding[]): Finding[] {
  const rank = ({ severity }: Finding): number => SEVERITIES.indexOf(severity);
  const depth = ({ subject }: Finding): number => (subject === CONTROL_SUBJECT ? 0 : 1);
  return [...findings].sort(
    (left, right) =>
      rank(left) - rank(right) ||
      depth(left) - depth(right) ||
      (right.sinceMillis ?? 0) - (left.sinceMillis ?? 0),
  );
}
