/** Routing of requests to upstreams: a deterministic core that a daemon or a simulator drives. */

export { type RetryBudget, TokenRetryBudget } from './capacity/retry-budget.js';
export { ConfigurationLease } from './configuration-lease.js';
export { ConfigurationView } from './configuration-view.js';
export { type LedgerWord, type OutcomeFacts, outcomeOf, statusOf } from './outcome-table.js';
export { createPicker } from './picker/create-picker.js';
export { PICKER_NAMES, type PickContext, type Picker, type PickerName } from './picker/picker.js';
export { Random } from './random.js';
export { createRouterNode } from './router-node.js';
export type * from './types.js';
export { type Standing, type StandingFacts, standingOf } from './upstream/standing.js';
export { UpstreamState } from './upstream/upstream-state.js';
