/**
 * @file Types of the events that a leader handles. Events are the core's only input besides direct calls of the other
 * methods of `ClusterScheduler`. They are handled one at a time, in the order in which the edge dispatches them.
 */
import type { Heartbeat } from './heartbeat.js';
import type { JobRecord } from './job.js';
import type { CloudInstance, MachineType } from './machine.js';
import type { ScaleOutRequest } from './scale-out.js';
import type { MonotonicTime } from './time.js';
import type { WorkerCommand } from './worker-command.js';
import type { Transaction } from './transaction.js';
import type { PageEntry } from './records.js';

/** Outcome of commands sent directly. If it is unknown, they may still arrive and be executed. */
export type CommandOutcome = 'executed' | 'refused' | 'unknown';

/** A worker answered commands that were sent directly, or the call reached its time limit. */
export interface CommandsAnswered {
  readonly kind: 'commands-answered';
  readonly machineName: string;
  readonly agentEpoch: number;
  /** Fencing token that the commands carried. */
  readonly fencingToken: number;
  readonly commands: readonly WorkerCommand[];
  /** When the call was sent, or its sending failed. */
  readonly calledAt: MonotonicTime;
  readonly outcome: CommandOutcome;
  /** The heartbeat in the worker's response, or null if the worker itself did not answer. */
  readonly heartbeat: Heartbeat | null;
}

/** An image that is cached on a machine according to a source other than heartbeats. */
export interface ImageSighting {
  readonly machineName: string;
  readonly image: string;
  readonly sizeGb: number;
}

/** An event that the leader handles. */
export type Event =
  /** A job's record was loaded, or a user or a controller changed it. */
  | {
      readonly kind: 'job-changed';
      readonly id: string;
      readonly record: JobRecord;
      readonly modRevision: number;
    }
  /** A job that ended before the term began was loaded; none of its tasks has an assignment. */
  | { readonly kind: 'job-finished'; readonly id: string; readonly status: 'done' | 'cancelled' }
  /** A page of recorded assignments and results was loaded. */
  | {
      readonly kind: 'page-loaded';
      readonly id: number;
      readonly entries: readonly PageEntry[];
      readonly modRevision: number;
    }
  /** All records written before the term are loaded. */
  | { readonly kind: 'load-completed' }
  /** A worker sent a heartbeat as a separate request; `answerHeartbeat` returns the commands for the response. */
  | { readonly kind: 'heartbeat'; readonly heartbeat: Heartbeat }
  | CommandsAnswered
  /** A transaction was committed. */
  | {
      readonly kind: 'transaction-committed';
      readonly transaction: Transaction;
      readonly modRevision: number;
    }
  /**
   * The state store confirmed the leadership as of the time when the confirmation was requested, by a compare that
   * succeeded at the given revision.
   */
  | {
      readonly kind: 'leadership-confirmed';
      readonly confirmedAt: MonotonicTime;
      readonly revision: number;
    }
  /** The leader's own fencing token advanced within the term. */
  | { readonly kind: 'token-advanced'; readonly fencingToken: number }
  /** The cloud's list of machine types was received. */
  | { readonly kind: 'machine-types'; readonly types: readonly MachineType[] }
  /** The cloud's whole inventory was received; `requestedAt` is when the first request for it was sent. */
  | {
      readonly kind: 'instance-inventory';
      readonly machines: readonly CloudInstance[];
      readonly requestedAt: MonotonicTime;
    }
  /** A scale-out request with a name of its own will be sent next. */
  | { readonly kind: 'scale-out-started'; readonly name: string; readonly request: ScaleOutRequest }
  /** The cloud answered a scale-out request with the names of the new machines, or null if it refused. */
  | {
      readonly kind: 'scale-out-answered';
      readonly name: string;
      readonly machines: readonly string[] | null;
    }
  /** A scale-in request has ended; `succeeded` is true if the cloud released the machines. */
  | { readonly kind: 'scale-in-answered'; readonly machines: readonly string[]; readonly succeeded: boolean }
  /** A source other than heartbeats shows that images are cached on machines. */
  | { readonly kind: 'images-observed'; readonly sightings: readonly ImageSighting[] }
  /** A timer fired: the only event that triggers periodic work. */
  | { readonly kind: 'tick' };
