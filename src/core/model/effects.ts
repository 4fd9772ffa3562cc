import type { WorkerCommand } from './worker-command.js';
import type { ScaleOutRequest } from './scale-out.js';

/** What the core wants done outside. */
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
  | { readonly kind: 'superseded'; readonly fencingToken: number }
  | { readonly kind: 'step-down'; readonly reason: string }
  /** What the next owner must know of zones. */
  | { readonly kind: 'persist-zones'; readonly record: unknown }
  | {
      readonly kind: 'log';
      readonly level: 'info' | 'debug';
      readonly message: string;
      readonly fields: Record<string, unknown>;
    };
