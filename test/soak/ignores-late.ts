/** Sabotage, loaded before a router: requests that come late in a planned stop behind running ones are ignored. */
import { alterProgram } from './altered-program.js';

alterProgram(
  'return!this.#order.isClosing&&!this.#socket.writableEnded?',
  'return!(this.isStopping&&this.isOverdue)&&!this.#order.isClosing&&!this.#socket.writableEnded?',
);
