/** What the processes of one bench run share. */
export const BENCH_IDENTITY = { cluster: 'bench', secret: 'only-for-the-bench' } as const;
/** The one service that the bench declares. */
export const BENCH_SERVICE = 'bench';
