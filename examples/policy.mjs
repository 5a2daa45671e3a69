/** A policy program: rules that refuse, hold and weigh, and the place of a fault. */
import { compilePolicy, PolicyError } from 'ternmount/policy';

const program = compilePolicy([
  { name: 'full', when: 'queue.fill > 0.9 && request.class == "bulk"', action: 'refuse' },
  { name: 'near', when: 'upstream.zone != zone', action: 'weigh', weight: '1.5' },
]);
const context = {
  request: { class: 'bulk', method: 'GET', key: '', service: 'listing', attempt: 1 },
  queue: { length: 95, limit: 100 },
  load: 1.2,
  zone: 'zone-a',
  deadline: { remainingMillis: 800 },
};
console.log('decision', program.decide(context).type);
const weigh = program.weigher(context);
const upstream = { id: 'listing-1', zone: 'zone-b', inFlight: 1, slots: 2, load: 0, serviceMillis: 6 };
console.log('weight', weigh(upstream));

try {
  compilePolicy([{ name: 'wrong', when: 'queue.fil > 1', action: 'refuse' }]);
} catch (error) {
  console.log('fault', error instanceof PolicyError, error.message.split('\n')[0]);
}
