/**
 * @file What can happen to a leader. Events are the core's only input besides direct requests for answers; each is
 * handled alone, in the order in which the edge dispatches them. Types only: nothing here handles an event.
 */
import type { Heartbeat } from './heartbeat.js';
import type { JobRecord } from './job.js';
import type { CloudInstance, MachineType } from './machine.js';
import type { ScaleOutRequest } from './scale-out.js';
import type { MonotonicTime } from './time.js';
import type { WorkerCommand } from './worker-command.js';
import type { Transaction } from './transaction.js';
import type { PageEntry } from './records.js';

/** How direct commands ended. Unknown: they may still arrive and be carried out. */
export type CommandOutcome = 'executed' | 'refused' | 'unknown';

/** A worker, or the time limit of the call, has answered commands that were sent directly. */
export interface CommandsAnswered {
  readonly kind: 'commands-answered';
  readonly machineName: string;
  readonly agentEpoch: number;
  /** The token that the commands carried. */
  readonly fencingToken: number;
  readonly commands: readonly WorkerCommand[];
  readonly outcome: CommandOutcome;
  /** The worker's heartbeat in its answer; null: the worker itself did not answer. */
  readonly heartbeat: Heartbeat | null;
}

/** An image that another source than a heartbeat shows to be cached on a machine. */
export interface ImageSighting {
  readonly machineName: string;
  readonly image: string;
  readonly sizeGb: number;
}

/** One event. */
export type Event =
  /** A job's record was loaded, or was changed by a user or a controller. */
  | {
      readonly kind: 'job-changed';
      readonly id: string;
      readonly record: JobRecord;
      readonly modRevision: number;
    }
  /** A job that had ended before the term, and of which no task has an assignment. */
  | { readonly kind: 'job-finished'; readonly id: string; readonly status: 'done' | 'cancelled' }
  /** A page of recorded assignments and results was loaded. */
  | {
      readonly kind: 'page-loaded';
      readonly id: number;
      readonly entries: readonly PageEntry[];
      readonly modRevision: number;
    }
  /** All that was recorded before the term is loaded. */
  | { readonly kind: 'load-completed' }
  /** A worker's heartbeat came as a request of its own; `answerHeartbeat` gives the answer to it. */
  | { readonly kind: 'heartbeat'; readonly heartbeat: Heartbeat }
  | CommandsAnswered
  /** A transaction was committed. */
  | {
      readonly kind: 'transaction-committed';
      readonly transaction: Transaction;
      readonly modRevision: number;
    }
  /** The state store confirmed the leadership, as of the moment at which that was requested. */
  | { readonly kind: 'leadership-confirmed'; readonly confirmedAt: MonotonicTime }
  /** The leader's own fencing token was advanced within the term. */
  | { readonly kind: 'token-advanced'; readonly fencingToken: number }
  /** The cloud's list of machine types. */
  | { readonly kind: 'machine-types'; readonly types: readonly MachineType[] }
  /** The cloud's whole inventory, and when the first request for it was sent. */
  | {
      readonly kind: 'instance-inventory';
      readonly machines: readonly CloudInstance[];
      readonly requestedAt: MonotonicTime;
    }
  /** A scale-out request is about to be sent, under a name of its own. */
  | { readonly kind: 'scale-out-started'; readonly name: string; readonly request: ScaleOutRequest }
  /** The cloud answered a scale-out request: the names of the new machines; null: it refused. */
  | {
      readonly kind: 'scale-out-answered';
      readonly name: string;
      readonly machines: readonly string[] | null;
    }
  /** The cloud answered a scale-in request, or failed to. */
  | { readonly kind: 'scale-in-answered'; readonly machines: readonly string[]; readonly succeeded: boolean }
  /** Images were found in the caches of machines by another way than heartbeats. */
  | { readonly kind: 'images-observed'; readonly sightings: readonly ImageSighting[] }
  /** Time has passed: the only event that periodic work depends on. */
  | { readonly kind: 'tick' };
