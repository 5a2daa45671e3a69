/** Sabotage, loaded before a router: answers that are written in a planned stop keep their connections if their requests were read before it. */
import { alterProgram } from './altered-program.js';

alterProgram('last===exchange&&this.isStopping&&!this.#order.isClosing&&(exchange.closesConnection=!0),', '');
