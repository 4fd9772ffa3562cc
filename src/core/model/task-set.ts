/**
 * @file A set of tasks of one job, with one bit for each task of the job. A job may have 100,000 tasks, and a `Set` of
 * their indexes takes some 200 times as much memory.
 */

const BITS_PER_WORD = 32;
/** A shift by this many bits divides by `BITS_PER_WORD`. */
const WORD_SHIFT = 5;
const NO_WORDS = new Int32Array(0);

/** Consecutive tasks of a job, from `first` to `last`. */
export interface TaskRange {
  readonly first: number;
  readonly last: number;
}

/** A set of the indexes of a job's tasks. */
export class TaskSet implements Iterable<number> {
  /** One bit for each task; `NO_WORDS` until an element is added, because many jobs never have one in a set. */
  private words = NO_WORDS;
  private count = 0;
  /** Index at which an iteration begins: behind the element that was removed last. */
  private firstInTurn = 0;

  /** Creates an empty set for the tasks of a job with `taskCount` tasks. */
  constructor(private readonly taskCount: number) {}

  /** Returns the set of all tasks of a job with `taskCount` tasks. */
  static full(taskCount: number): TaskSet {
    const tasks = new TaskSet(taskCount);
    const words = new Int32Array(Math.ceil(taskCount / BITS_PER_WORD)).fill(~0);
    const bitsInLastWord = taskCount % BITS_PER_WORD;
    if (bitsInLastWord > 0) words[words.length - 1] = 2 ** bitsInLastWord - 1;
    tasks.words = words;
    tasks.count = taskCount;
    return tasks;
  }

  /** Returns the set of the given tasks of a job with `taskCount` tasks. */
  static of(taskCount: number, elements: Iterable<number>): TaskSet {
    const tasks = new TaskSet(taskCount);
    for (const task of elements) tasks.add(task);
    return tasks;
  }

  get size(): number {
    return this.count;
  }

  has(task: number): boolean {
    return (this.wordAt(task >> WORD_SHIFT) & (1 << task)) !== 0;
  }

  /** Adds a task. Returns false if the set has it already, or if the job has no such task. */
  add(task: number): boolean {
    return this.addRange({ first: task, last: task }) > 0;
  }

  /** Adds the tasks of a range that the job has. Returns how many of them the set did not have. */
  addRange(range: TaskRange): number {
    const { first, last } = this.clip(range);
    if (first > last) return 0;
    if (this.words === NO_WORDS) this.words = new Int32Array(Math.ceil(this.taskCount / BITS_PER_WORD));
    let added = 0;
    for (let index = first >> WORD_SHIFT; index <= last >> WORD_SHIFT; index++) {
      const word = this.wordAt(index);
      const mask = maskOf(first, last, index);
      added += bitCount(mask & ~word);
      this.words[index] = word | mask;
    }
    this.count += added;
    return added;
  }

  /** Removes a task. Returns false if the set does not have it. */
  delete(task: number): boolean {
    return this.deleteRange({ first: task, last: task }) > 0;
  }

  /** Removes the tasks of a range. Returns how many of them the set had. */
  deleteRange(range: TaskRange): number {
    const { first, last } = this.clip(range);
    let removed = 0;
    for (let index = first >> WORD_SHIFT; index <= last >> WORD_SHIFT && this.count > 0; index++) {
      const word = this.wordAt(index);
      const mask = maskOf(first, last, index);
      removed += bitCount(mask & word);
      this.words[index] = word & ~mask;
    }
    this.count -= removed;
    if (removed > 0) this.firstInTurn = last + 1;
    return removed;
  }

  /** Removes all tasks and releases their memory. */
  clear(): void {
    this.words = NO_WORDS;
    this.count = 0;
    this.firstInTurn = 0;
  }

  /**
   * Iterates over the tasks in turn: those behind the task that was removed last, then those before it. A task that is
   * added again thus comes after all that have waited for longer. The task just returned may be removed meanwhile.
   */
  *[Symbol.iterator](): Generator<number> {
    const start = this.firstInTurn;
    yield* this.between(start, this.taskCount);
    yield* this.between(0, start);
  }

  /** Iterates over the tasks from `first` to `end - 1` in ascending order, without a visit for each missing one. */
  *between(first: number, end: number): Generator<number> {
    const limit = Math.min(end, this.taskCount);
    for (let task = this.nextFrom(first); task < limit; task = this.nextFrom(task + 1)) yield task;
  }

  /** Returns the ranges of consecutive elements from `first` to `end - 1`, in ascending order. */
  rangesBetween(first: number, end: number): TaskRange[] {
    const ranges: TaskRange[] = [];
    let open: { readonly first: number; last: number } | null = null;
    for (const task of this.between(first, end)) {
      if (open?.last === task - 1) open.last = task;
      else ranges.push((open = { first: task, last: task }));
    }
    return ranges;
  }

  /** Returns the part of a range that the job has tasks for. It is empty if `first` is greater than `last`. */
  private clip({ first, last }: TaskRange): TaskRange {
    return { first, last: Math.min(last, this.taskCount - 1) };
  }

  /** Returns the lowest element that is at least `task`, or the number of the job's tasks if there is none. */
  private nextFrom(task: number): number {
    if (this.count === 0 || task >= this.taskCount) return this.taskCount;
    let index = task >> WORD_SHIFT;
    // A shift uses the low five bits of its right operand, which are the position of the task within its word.
    let word = this.wordAt(index) & (~0 << task);
    while (word === 0 && index + 1 < this.words.length) {
      index += 1;
      word = this.wordAt(index);
    }
    return word === 0 ? this.taskCount : index * BITS_PER_WORD + lowestBitOf(word);
  }

  private wordAt(index: number): number {
    return this.words[index] ?? 0;
  }
}

/** Returns the bits of the word at `index` that stand for tasks from `first` to `last`. */
function maskOf(first: number, last: number, index: number): number {
  const start = index * BITS_PER_WORD;
  const lowest = Math.max(first - start, 0);
  const highest = Math.min(last - start, BITS_PER_WORD - 1);
  return (~0 << lowest) & (~0 >>> (BITS_PER_WORD - 1 - highest));
}

/** Returns how many bits of a word are set. Adds them up in parallel: in pairs, in groups of four, then in bytes. */
function bitCount(word: number): number {
  const pairs = word - ((word >>> 1) & 0x55555555);
  const fours = (pairs & 0x33333333) + ((pairs >>> 2) & 0x33333333);
  const bytes = (fours + (fours >>> 4)) & 0x0f0f0f0f;
  return Math.imul(bytes, 0x01010101) >>> 24;
}

const lowestBitOf = (word: number): number => BITS_PER_WORD - 1 - Math.clz32(word & -word);
