/** Cluster name and secret shared by the processes of a bench run. */
export const BENCH_IDENTITY = { cluster: 'bench', secret: 'only-for-the-bench' } as const;
/** The only service that the bench declares. */
export const BENCH_SERVICE = 'bench';
