/** Faults of a control member's disk, and the file by which they are ordered from outside its process. */

export const DISK_FAULT = { hangs: 'hangs', full: 'full' } as const;
export type DiskFault = (typeof DISK_FAULT)[keyof typeof DISK_FAULT];

export function diskFaultFile(settingsFile: string): string {
  return `${settingsFile}.disk`;
}
