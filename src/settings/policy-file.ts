/** Files with the policy of one service: a YAML map with the list `policy`. */
import type { PolicyRule } from '../model/service.js';
import { policyDocumentSchema } from './definition-schemas.js';
import { findPolicyProblems } from './policy-problems.js';
import { SettingsError } from './settings-error.js';
import { checkSource, readYaml } from './yaml-source.js';

/** Reads a file and checks that its rules compile. Throws `SettingsError` with the location of each problem. */
export function loadPolicy(path: string): readonly PolicyRule[] {
  const [source, second] = readYaml(path);
  if (source === undefined || second !== undefined) {
    throw new SettingsError([{ source: path, path: '', message: 'must hold one YAML document' }]);
  }
  const { policy } = checkSource(source, policyDocumentSchema);
  const places = {
    problemAt: source.problemAt.bind(source),
    placeInText: source.placeInText.bind(source),
  };
  const problems = findPolicyProblems(policy, places, ['policy']);
  if (problems.length > 0) {
    throw new SettingsError(problems);
  }
  return policy;
}
