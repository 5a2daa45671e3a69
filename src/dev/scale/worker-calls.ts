/** Calls from the scale run to the processes it started, over their IPC channel. */

/** What the processes of a run need to find and trust one another. */
export interface RunIdentity {
  readonly cluster: string;
  readonly secret: string;
  /** Internal addresses of the control members. */
  readonly control: readonly string[];
}

/** Names of the roles; each is one kind of process. */
export type RoleName = 'control' | 'hollow-routers' | 'hollow-upstreams' | 'real-router';

export interface WorkerCall {
  readonly call: number;
  readonly method: string;
  readonly argument: unknown;
}

export type WorkerReply =
  | { readonly call: number; readonly result: unknown }
  | { readonly call: number; readonly error: string };

/** Methods of a role, each with one argument that travels as JSON. */
export type RoleMethods = {
  // biome-ignore lint/suspicious/noExplicitAny: arguments are typed by each role; JSON carries them
  readonly [method: string]: (argument: any) => unknown;
};

/** The type that a caller sees of a method. */
export type RemoteMethods<Methods extends object> = {
  readonly [Name in keyof Methods]: Methods[Name] extends () => infer Result
    ? () => Promise<Awaited<Result>>
    : Methods[Name] extends (argument: infer Argument) => infer Result
      ? (argument: Argument) => Promise<Awaited<Result>>
      : never;
};
