/** A router's connection to one control member: reconnects after a break and delivers in order while connected. */
import type { RouterToControl } from '../../../control/messages.js';
import { Connection } from '../connection.js';
import type { SimControl } from '../control/sim-control.js';
import type { World } from '../world.js';
import type { SimRouter } from './sim-router.js';

/** Delay before the next attempt to connect. */
const RECONNECT_MILLIS = 150;

export class ControlLine {
  private connection: Connection | null = null;
  private id = '';

  constructor(
    private readonly world: World,
    private readonly router: SimRouter,
    private readonly control: SimControl,
  ) {}

  /** Connects, and retries until it succeeds. */
  open(): void {
    const { world, router, control } = this;
    const isBlocked = world.network.isBlocked(router, control) || world.network.isBlocked(control, router);
    const roundTrip = 2 * world.network.latency(router, control);
    router.schedule(roundTrip, () => {
      if (isBlocked || control.state !== 'running') {
        router.schedule(RECONNECT_MILLIS, () => this.open());
        return;
      }
      this.establish();
    });
  }

  /** Sends a message, which is lost if there is no connection. */
  send(message: RouterToControl): void {
    const { id, control } = this;
    this.connection?.sendToServer(() => control.routerMessage(id, message));
  }

  private establish(): void {
    const { world, router, control } = this;
    const id = `line-${world.nextNumber()}`;
    const connection = new Connection(
      world.network,
      { process: router, onBroken: () => this.onBroken() },
      { process: control, onBroken: () => control.closeLine(id) },
    );
    this.id = id;
    this.connection = connection;
    control.openLine(id, {
      connection,
      deliver: (message) => router.input({ type: 'control-message', from: control.address, message }),
    });
  }

  private onBroken(): void {
    this.connection = null;
    this.router.input({ type: 'control-lost', from: this.control.address });
    this.router.schedule(RECONNECT_MILLIS, () => this.open());
  }
}
