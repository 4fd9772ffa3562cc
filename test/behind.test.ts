import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { test } from 'node:test';
import { Intake, readReports } from '../src/edge/reports.js';

/**
 * A process that is behind: a takeover on a small share of a core. What is guarded here was lost one after the other
 * on simulated machines: connections waited longer than their workers, direct calls took the time of the reports, the
 * lease in the state service ran out under an owner that had the state service, and passes went on meanwhile.
 */

/** Turns are taken by hand, and time goes on only where a test says so. */
function intakeByHand(): { intake: Intake; turn: () => void; pass: (ms: number) => void; due: () => number } {
  let now = 0n;
  const due: (() => void)[] = [];
  const intake = new Intake(
    () => now,
    (f) => {
      due.push(f);
      return {} as NodeJS.Immediate;
    },
  );
  return {
    intake,
    turn: () => due.shift()?.(),
    pass: (ms) => (now += BigInt(ms) * 1_000_000n),
    due: () => due.length,
  };
}

test('reports are answered in turns of 10 ms, the oldest first, so that the loop goes round in between', () => {
  const { intake, turn, pass, due } = intakeByHand();
  const answered: number[] = [];
  for (let n = 0; n < 7; n++)
    intake.push(() => {
      answered.push(n);
      pass(4);
    });
  turn();
  assert.deepEqual(answered, [], 'the end of a connection is seen one round after what it brought');
  turn();
  assert.deepEqual(answered, [0, 1, 2]);
  turn();
  turn();
  assert.deepEqual(answered, [0, 1, 2, 3, 4, 5, 6]);
  assert.equal(due(), 0, 'nothing waits, nothing is planned');
});

test('a report whose worker has given up is not looked at; the others are', () => {
  const { intake, turn } = intakeByHand();
  const seen: string[] = [];
  const written: string[] = [];
  const report = (body: string): Buffer =>
    Buffer.from(`POST /hello HTTP/1.1\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
  const connect = (): Duplex => {
    const socket = new Duplex({
      read: () => undefined,
      write: (d: Buffer, _e, done) => {
        written.push(d.toString());
        done();
      },
    });
    Object.assign(socket, { setNoDelay: () => socket, setTimeout: () => socket });
    const answer = (b: Buffer) => {
      seen.push(b.toString());
      return { status: 200, body: b } as const;
    };
    readReports(socket as unknown as Socket, 1024, intake, answer, () => assert.fail('not a report'));
    return socket;
  };
  const [gone, held] = [connect(), connect()];
  gone.emit('data', report('gone'));
  // Not pipelined by the rules, but nothing is lost and nothing answered out of turn if it is.
  held.emit('data', Buffer.concat([report('first'), report('second')]));
  turn();
  gone.emit('end');
  turn();
  assert.deepEqual(seen, ['first']);
  turn();
  turn();
  assert.deepEqual(seen, ['first', 'second']);
  assert.equal(written.length, 2);
  assert.equal(intake.size, 0);
  held.destroy();
  gone.destroy();
});
