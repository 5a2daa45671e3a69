/** Creates a picker by its configured name. */
import { LeastInFlightPicker } from './least-in-flight-picker.js';
import { LeastWorkPicker } from './least-work-picker.js';
import type { Picker, PickerName } from './picker.js';
import { RoundRobinPicker } from './round-robin-picker.js';
import { TwoChoicesPicker } from './two-choices-picker.js';

const PICKERS: Readonly<Record<PickerName, () => Picker>> = {
  'least-work': () => new LeastWorkPicker(),
  'least-in-flight': () => new LeastInFlightPicker(),
  'two-choices': () => new TwoChoicesPicker(),
  'round-robin': () => new RoundRobinPicker(),
};

export function createPicker(name: PickerName): Picker {
  return PICKERS[name]();
}
