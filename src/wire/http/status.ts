/** Statuses of HTTP (RFC 9110, 15); Node's client takes any number. */

const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/** Whether a response with this status answers its request. */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
}
