/** Calls from the scale run to its processes over their IPC channel. */

/** Data that the processes of a run need to connect to and authenticate each other. */
export interface RunIdentity {
  readonly cluster: string;
  readonly secret: string;
  /** Internal addresses of the control members. */
  readonly control: readonly string[];
}

/** Names of the roles, one for each kind of process. */
export type RoleName = 'control' | 'simulated-routers' | 'simulated-upstreams' | 'real-router';

export interface WorkerCall {
  readonly call: number;
  readonly method: string;
  readonly argument: unknown;
}

export type WorkerReply =
  | { readonly call: number; readonly result: unknown }
  | { readonly call: number; readonly error: string };

/** Methods of a role, each with one argument that is sent as JSON. */
export type RoleMethods = {
  // biome-ignore lint/suspicious/noExplicitAny: arguments are typed by each role; JSON carries them
  readonly [method: string]: (argument: any) => unknown;
};

/** Methods of a role as seen by the scale run, which return promises. */
export type RemoteMethods<Methods extends object> = {
  readonly [Name in keyof Methods]: Methods[Name] extends () => infer Result
    ? () => Promise<Awaited<Result>>
    : Methods[Name] extends (argument: infer Argument) => infer Result
      ? (argument: Argument) => Promise<Awaited<Result>>
      : never;
};
