/**
 * @file Dispatches inbound connections: each one starts with the heartbeat reader and moves to the general HTTP server
 * at its first request that is not a plain heartbeat. This module owns the listener, the general server and every open
 * connection, and closes all of them when it is unsubscribed from.
 */
import http, { type Server } from 'node:http';
import type { Socket } from 'node:net';
import { Observable, Subscription } from 'rxjs';
import type { ConnectionLimits } from '../config/connection-limits.js';
import { parseHostAndPort } from '../net/host-and-port.js';
import { HeartbeatEndpoint, type HeartbeatEndpointDependencies } from './heartbeat-endpoint.js';
import { HeartbeatQueue } from './heartbeat-queue.js';
import { readHeartbeats, type HeartbeatReaderOptions } from './heartbeat-reader.js';
import { InboundConnections } from './inbound-connections.js';
import { Listener } from './listener.js';
import { MAX_BODY_BYTES, createUserApp, type UserAppDependencies } from './user-app.js';

const KEEP_ALIVE_MS = 120_000;
const REQUEST_TIMEOUT_MS = 15_000;

/** The dependencies of the HTTP server. */
export interface HttpServerDependencies extends UserAppDependencies, HeartbeatEndpointDependencies {
  readonly address: string;
  readonly connectionLimits: ConnectionLimits;
  /** The share of a core that the settings allow. */
  readonly coreShare: number;
}

/** Listens until unsubscribed. Emits the port each time it starts to listen. */
export function startHttpServer(dependencies: HttpServerDependencies): Observable<{ readonly port: number }> {
  return new Observable((subscriber) => {
    const { address, connectionLimits, coreShare, logger } = dependencies;
    const connections = new InboundConnections(connectionLimits, logger);
    const heartbeats = new HeartbeatEndpoint(dependencies);
    const userServer = createUserServer(dependencies, heartbeats, connections);
    const queue = new HeartbeatQueue(() => {
      if (listener.reopen())
        logger.info({ openConnections: connections.open }, 'connection backlog stale, listener reopened');
    }, coreShare);
    const subscriptions = new Subscription();
    const readerOptions: HeartbeatReaderOptions = {
      maxBodyBytes: MAX_BODY_BYTES,
      queue,
      respond: (body) => heartbeats.respond(body),
      handOver: (socket) => handOver(socket, userServer, connections),
      rotatesConnections: () => connections.rotatesWorkerConnections(),
    };
    const listener = new Listener(parseHostAndPort(address), (socket) =>
      acceptConnection(socket, connections, readerOptions, subscriptions),
    );
    subscriptions.add(listener.open().subscribe(subscriber));
    subscriptions.add(() => queue.stop());
    subscriptions.add(() => userServer.closeAllConnections());
    return subscriptions;
  });
}

function createUserServer(
  dependencies: UserAppDependencies,
  heartbeats: HeartbeatEndpoint,
  connections: InboundConnections,
): Server {
  const server = http.createServer(createUserApp(dependencies, heartbeats, connections));
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  return server;
}

/** Reads a connection until it is closed, or `subscriptions` is unsubscribed from. */
function acceptConnection(
  socket: Socket,
  connections: InboundConnections,
  readerOptions: HeartbeatReaderOptions,
  subscriptions: Subscription,
): void {
  if (!connections.admit()) {
    socket.destroy();
    return;
  }
  const connection = new Subscription(readHeartbeats(socket, readerOptions));
  socket.on('error', () => undefined);
  socket.once('close', () => {
    connections.release();
    connection.unsubscribe();
    subscriptions.remove(connection);
  });
  subscriptions.add(connection);
}

function handOver(socket: Socket, userServer: Server, connections: InboundConnections): void {
  if (connections.refusesNewUsers) connections.markOverUserLimit(socket);
  userServer.emit('connection', socket);
  socket.resume();
}
