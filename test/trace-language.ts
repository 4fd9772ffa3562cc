/** @file Parses the lines, arguments, task references and reported tasks of the trace language, and formats commands. */
import assert from 'node:assert/strict';
import { seconds } from '../src/core/model/time.js';
import type { ReportedTask } from '../src/core/model/heartbeat.js';
import type { CloudInstance } from '../src/core/model/machine.js';
import type { WorkerCommand } from '../src/core/model/worker-command.js';

/** The `name=value` arguments of a line. */
export type TraceArguments = Readonly<Record<string, string>>;

/** A parsed line, without its comment. */
export interface TraceLine {
  readonly verb: string;
  /** All words after the verb, unparsed. */
  readonly words: readonly string[];
  /** The words without `=`. */
  readonly operands: readonly string[];
  readonly args: TraceArguments;
}

/** Parses a line. Returns null if it is empty or only a comment. */
export function parseTraceLine(raw: string): TraceLine | null {
  const line = raw.replace(/(^|\s)#(\s.*)?$/, '').trim();
  if (line === '') return null;
  const [verb = '', ...words] = line.split(/\s+/);
  const operands: string[] = [];
  const args: Record<string, string> = {};
  for (const word of words) {
    const equals = word.indexOf('=');
    if (equals > 0) args[word.slice(0, equals)] = word.slice(equals + 1);
    else operands.push(word);
  }
  return { verb, words, operands, args };
}

/** Parses a numeric argument. Returns `fallback` if it is absent. */
export const parseNumber = (value: string | undefined, fallback: number): number =>
  value === undefined ? fallback : Number(value);

/** True if a yes/no argument is `yes`; an absent one counts as no. */
export const parseFlag = (value: string | undefined): boolean => value === 'yes';

/** Parses a comma-separated argument. Returns an empty list if it is absent. */
export const parseList = (value: string | undefined): string[] => (value ?? '').split(',').filter(Boolean);

/** One attempt at a task, written `job/index#attempt`. */
export interface TaskReference {
  readonly jobId: string;
  readonly taskIndex: number;
  readonly attempt: number;
}

/** Parses `j/0#1`. Throws an assertion error if the text is not a task reference. */
export function parseTaskReference(text: string): TaskReference {
  const match = /^(.+)\/(\d+)#(\d+)$/.exec(text);
  assert.ok(match !== null, `not a task: ${text}`);
  return { jobId: match[1] ?? '', taskIndex: Number(match[2]), attempt: Number(match[3]) };
}

/** Parses a task of a heartbeat: `j/0#1:running` or `j/0#1:exited:done`. */
export function parseReportedTask(text: string): ReportedTask {
  const [reference = '', state = 'running', exitReason] = text.split(':');
  return {
    ...parseTaskReference(reference),
    state: state as ReportedTask['state'],
    exitReason: exitReason ?? null,
    checkpointed: false,
  };
}

/** A running machine as the cloud's inventory lists it. */
export const listedInstance = (name: string): CloudInstance => ({
  name,
  endpoint: `${name}:1`,
  type: 'big',
  zone: 'east',
  spot: false,
  state: 'running',
  age: seconds(60),
});

/** Formats a command in the notation of `>` lines. */
export function formatCommand(command: WorkerCommand): string {
  const grace = command.op === 'stop' ? ` grace=${command.gracePeriodS ?? 0}` : '';
  return `${command.op} ${command.jobId}/${command.taskIndex}#${command.attempt}${grace}`;
}
