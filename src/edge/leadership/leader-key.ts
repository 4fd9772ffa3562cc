import { partKey, type PartRecord } from '../../wire/records.js';
import type { Guard } from '../state-store/state-store.js';
import type { TermContext } from './term-context.js';

/** The key in the state service that makes this process the owner of the part. */
export class OwnedKey {
  constructor(private readonly term: TermContext) {}

  /** Has a transaction carried out only while we are the owner. */
  guard(): Guard {
    return { key: partKey(this.term.dependencies.part), stamp: this.term.owner.state.term.fencingToken };
  }

  /** After a conflict on our own key: our own raise may just have been carried out, or the term is over. */
  async stillOwner(): Promise<boolean> {
    if (!(await this.term.dependencies.store.fresh(2000))) return true;
    const entry = this.term.dependencies.store.copy.get(partKey(this.term.dependencies.part));
    if (
      entry === undefined ||
      (entry.value as PartRecord).incarnation !== this.term.dependencies.record.incarnation
    )
      return false;
    if (entry.stamp > this.term.owner.state.term.fencingToken)
      this.term.event({ kind: 'token-advanced', fencingToken: entry.stamp });
    return true;
  }
}
