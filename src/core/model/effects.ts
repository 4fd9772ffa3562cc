/** @file Effects: actions that the core requests from its caller, because it performs no input or output itself. */
import type { ScaleOutRequest } from './scale-out.js';
import type { WorkerCommand } from './worker-command.js';

/** Values of a log line, by name. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | readonly string[]>>;

/** One action that the caller carries out after the event. */
export type Effect =
  | {
      readonly kind: 'send-commands';
      readonly machineName: string;
      readonly agentEpoch: number;
      readonly commands: readonly WorkerCommand[];
    }
  | { readonly kind: 'scale-out'; readonly request: ScaleOutRequest }
  | { readonly kind: 'scale-in'; readonly machineNames: readonly string[]; readonly reason: string }
  | { readonly kind: 'advance-token'; readonly reason: string }
  /** A worker reported a higher fencing token, so another leader is active. */
  | { readonly kind: 'superseded'; readonly fencingToken: number }
  | { readonly kind: 'step-down'; readonly reason: string }
  /** Stores what the next leader needs about lost and returning zones. */
  | { readonly kind: 'persist-zones'; readonly record: unknown }
  | {
      readonly kind: 'log';
      readonly level: 'info' | 'debug';
      readonly message: string;
      readonly fields: LogFields;
    };
