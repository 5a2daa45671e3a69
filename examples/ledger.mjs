/** At-most-once claims: the first claimant of a key may run it, the second gets the first one's outcome. */
import { Ledger } from 'ternmount/ledger';

const ledger = new Ledger();
const now = Date.UTC(2030, 0, 1);
ledger.setService('checkout', 3_600_000, now);

function claim(claimant, revision) {
  const command = {
    type: 'ledger-claim',
    service: 'checkout',
    key: 'order-77',
    fingerprint: 'ab12',
    claimant,
    issuedAt: now,
  };
  return ledger.claim(command, revision, now);
}

console.log('first', claim('router-1/run/1', 1).type);
console.log('second', claim('router-2/run/1', 2).type);
const answer = { status: 200, contentType: 'text/plain', body: 'cGFpZA==', truncated: false };
ledger.settle(
  {
    type: 'ledger-settle',
    service: 'checkout',
    key: 'order-77',
    claimant: 'router-1/run/1',
    outcome: 'ran',
    answer,
  },
  3,
  now,
);
const resent = claim('router-2/run/2', 4);
console.log('resent', resent.type, resent.record.state, resent.record.answer.status);
