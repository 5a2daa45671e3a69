/** Sabotage, loaded before a router: connections are closed at once, as a server does by itself. */
import { Socket } from 'node:net';
import { LingeringConnections } from '../../src/wire/http/lingering-connections.js';

LingeringConnections.prototype.close = (socket: Socket): void => {
  Socket.prototype.destroySoon.call(socket);
};
