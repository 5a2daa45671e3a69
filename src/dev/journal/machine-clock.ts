/** The clock that every process of one machine shares, so that records of several processes can be put in order. */

const NANOSECONDS_PER_MILLISECOND = 1e6;

/** Milliseconds, with fractions, on the machine's monotonic clock; it doesn't start anew with a process. */
export function machineMillis(): number {
  return Number(process.hrtime.bigint()) / NANOSECONDS_PER_MILLISECOND;
}
