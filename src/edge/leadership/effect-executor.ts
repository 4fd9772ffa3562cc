/**
 * @file Executes the effects of the core during a term: commands, scaling, fencing, zone records and log lines. It
 * owns the numbering of scale-out requests; it makes no decisions of its own.
 */
import type { Effect } from '../../core/model/effects.js';
import type { ScaleOutRequest } from '../../core/model/scale-out.js';
import { mayStartTasks } from '../../core/state/leadership-timing.js';
import { monotonicNow } from '../runtime/clock.js';
import type { WorkerCommandSender } from '../workers/worker-command-sender.js';
import type { CommitLoop } from './commit-loop.js';
import type { TermContext } from './term-context.js';
import type { ZoneRecordWriter } from './zone-record-writer.js';

/** The components of a term to which effects are passed. */
export interface EffectTargets {
  readonly commandSender: WorkerCommandSender;
  readonly commitLoop: CommitLoop;
  readonly zoneRecordWriter: ZoneRecordWriter;
}

type SendCommands = Extract<Effect, { kind: 'send-commands' }>;

/** Executes effects in the order in which they are passed to it. */
export class EffectExecutor {
  private scaleOutCount = 0;

  constructor(
    private readonly term: TermContext,
    private readonly targets: EffectTargets,
    /** Aborted at the end of the term, after which requests to the cloud are not retried. */
    private readonly signal: AbortSignal,
  ) {}

  /** Executes one effect; responses to it are dispatched to the core as events. */
  execute(effect: Effect): void {
    switch (effect.kind) {
      case 'log':
        this.term.dependencies.logger[effect.level](effect.fields, effect.message);
        break;
      case 'send-commands':
        this.sendCommands(effect);
        break;
      case 'scale-out':
        this.scaleOut(effect.request);
        break;
      case 'scale-in':
        this.scaleIn(effect.machineNames, effect.reason);
        break;
      case 'advance-token':
        this.targets.commitLoop.requestTokenAdvance(effect.reason);
        break;
      case 'persist-zones':
        this.targets.zoneRecordWriter.save(effect.record);
        break;
      case 'step-down':
        this.stepDown(effect.reason);
        break;
      case 'superseded':
        this.term.end({ kind: 'superseded', seenFencingToken: effect.fencingToken });
        break;
    }
  }

  private sendCommands({ machineName, agentEpoch, commands }: SendCommands): void {
    const endpoint = this.term.scheduler.state.machines.byName.get(machineName)?.endpoint ?? '';
    if (endpoint !== '') this.targets.commandSender.push({ machineName, endpoint, agentEpoch, commands });
  }

  private scaleOut(request: ScaleOutRequest): void {
    const { cloud, logger } = this.term.dependencies;
    // The first fencing token of a term is committed and belongs to this process alone. Names that contain it are
    // therefore never reused, which makes the request idempotent.
    const name = `r-${this.term.scheduler.state.term.firstFencingToken}-${++this.scaleOutCount}`;
    this.term.dispatch({ kind: 'scale-out-started', name, request });
    void cloud.scaleOut(name, request, this.signal).then((machines) => {
      logger.info({ name, requested: request.count, received: machines?.length ?? 0 }, 'scale out answered');
      this.term.dispatch({ kind: 'scale-out-answered', name, machines });
    });
  }

  private scaleIn(machines: readonly string[], reason: string): void {
    const { cloud, logger } = this.term.dependencies;
    const mayRelease = (): boolean =>
      mayStartTasks(this.term.scheduler.state.term.confirmedAt, monotonicNow());
    logger.info({ machines, reason }, 'scale in started');
    void cloud.scaleIn(machines, mayRelease, this.signal).then((succeeded) => {
      this.term.dispatch({ kind: 'scale-in-answered', machines, succeeded });
    });
  }

  private stepDown(cause: string): void {
    const { onStepDown, stateStore } = this.term.dependencies;
    this.term.end({ kind: 'stepped-down', cause });
    onStepDown();
    // Revoking the lease deletes the leader key at once, so that another controller can become the leader.
    void stateStore.revokeLease(this.term.leaseId);
  }
}
