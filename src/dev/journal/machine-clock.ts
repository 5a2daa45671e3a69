/** The clock shared by all processes of one machine, by which records of several processes are ordered. */

const NANOSECONDS_PER_MILLISECOND = 1e6;

/** Returns fractional milliseconds on the machine's monotonic clock, which doesn't restart with a process. */
export function machineMillis(): number {
  return Number(process.hrtime.bigint()) / NANOSECONDS_PER_MILLISECOND;
}
