/**
 * @file The result of decoding a message body from an external system; a malformed body is a result, not an
 * exception.
 */
import type * as z from 'zod';

/** A body that could not be decoded, with the first reason. */
interface ParseFailure {
  readonly ok: false;
  readonly reason: string;
}

/** A decoded message, or the reason why it could not be decoded. */
export type ParseResult<T> = { readonly ok: true; readonly value: T } | ParseFailure;

/** Returns the first issue of a schema error, prefixed with its path in the body. */
function failureOf(error: z.ZodError): ParseFailure {
  const issue = error.issues[0];
  const reason = issue === undefined ? 'invalid' : `${issue.path.join('.') || 'body'}: ${issue.message}`;
  return { ok: false, reason };
}

/** Validates a body against its schema and converts it to the program's own types. */
export function parseBody<S extends z.ZodType, T>(
  schema: S,
  body: unknown,
  convert: (message: z.infer<S>) => T,
): ParseResult<T> {
  const parsed = schema.safeParse(body);
  return parsed.success ? { ok: true, value: convert(parsed.data) } : failureOf(parsed.error);
}
