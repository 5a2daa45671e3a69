/** Compiles policies from files and reports each problem with its line and column in the file. */

import type { PolicyRule } from '../model/service.js';
import { compilePolicy, type PolicyDiagnostic, PolicyError, type PolicySource } from '../policy/index.js';
import type { DeclarationPlaces } from './definition-documents.js';
import type { SettingsProblem } from './settings-error.js';
import type { ValuePath } from './yaml-source.js';

/** Locates the rules at the path `base` of a declaration. */
function policySource(places: DeclarationPlaces, base: ValuePath): PolicySource {
  return {
    locate: (ruleIndex, field, offset) => {
      const rule = [...base, ruleIndex];
      return places.placeInText(field === null ? rule : [...rule, field], offset);
    },
  };
}

function problemOf(source: string, diagnostic: PolicyDiagnostic): SettingsProblem {
  const { line, column, rule, field, message } = diagnostic;
  const path = ['policy', rule, field].filter((part) => part !== null).join('.');
  return { source, path, line, column, message };
}

/** Returns the problems of the rules at the path `base` of a declaration; empty if they compile. */
export function findPolicyProblems(
  rules: readonly PolicyRule[],
  places: DeclarationPlaces,
  base: ValuePath,
): SettingsProblem[] {
  try {
    compilePolicy(rules, policySource(places, base));
    return [];
  } catch (thrown) {
    if (!(thrown instanceof PolicyError)) {
      throw thrown;
    }
    const { source } = places.problemAt(base, '');
    return thrown.diagnostics.map((diagnostic) => problemOf(source, diagnostic));
  }
}
