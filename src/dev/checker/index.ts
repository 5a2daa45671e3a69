/** The checker of recorded histories: one entry point for the simulator and the fleet. */
export { Checker } from './checker.js';
export { IN_FORCE_MILLIS, LEAVING_MILLIS } from './configuration-rule.js';
export type * from './history.js';
export { PROMISES, type PromiseName, type Violation } from './rule.js';
