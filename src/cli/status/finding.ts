/** One finding of the status page. */

/** `critical`: requests or changes fail, or would after one more loss. `warning`: needs repair. `note`: information only. */
export const SEVERITIES = ['critical', 'warning', 'note'] as const;

/** How urgent a finding is. */
export type Severity = (typeof SEVERITIES)[number];

/** A condition that `status` reports, with its severity and the advised action. */
export interface Finding {
  readonly severity: Severity;
  /** E.g. `control/r-1f3a` or `upstream/menu-7`. */
  readonly subject: string;
  readonly problem: string;
  /** How long the condition has lasted at least; `null` if not known. */
  readonly sinceMillis: number | null;
  /** The advised action. */
  readonly advice: string;
}

const CONTROL_SUBJECT = 'control';

/** Sorts by severity, worst first; then control, since everything depends on it, then by age, oldest first. */
export function sortFindings(findings: readonly Finding[]): Finding[] {
  const rank = ({ severity }: Finding): number => SEVERITIES.indexOf(severity);
  const controlFirst = ({ subject }: Finding): number => (subject === CONTROL_SUBJECT ? 0 : 1);
  return [...findings].sort(
    (left, right) =>
      rank(left) - rank(right) ||
      controlFirst(left) - controlFirst(right) ||
      (right.sinceMillis ?? 0) - (left.sinceMillis ?? 0),
  );
}
