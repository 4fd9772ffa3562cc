/**
 * @file Parses an HTTP/1.1 response from the bytes of a connection. It must accept at most one response, and must throw
 * if the bytes are not a response.
 */

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
  /** Whether the connection may carry another request. */
  readonly keepAlive: boolean;
}

/** The received bytes are not an HTTP/1.1 response, or the head of the response is too long. */
export class MalformedResponseError extends Error {
  override readonly name = 'MalformedResponseError';
}

const HEAD_END = Buffer.from('\r\n\r\n');
const LINE_END = Buffer.from('\r\n');
const MAX_HEAD_BYTES = 16 * 1024;
const STATUS_LINE = /^HTTP\/1\.[01] ([1-5]\d\d)(?: |$)/;

/** How the end of a body is determined. */
type Framing =
  | { readonly kind: 'length'; readonly length: number }
  | { readonly kind: 'chunked' }
  /** The body ends when the connection is closed. */
  | { readonly kind: 'until-close' };

interface Head {
  readonly status: number;
  readonly keepAlive: boolean;
  readonly framing: Framing;
}

function parseHead(text: string): Head {
  const [statusLine = '', ...lines] = text.split('\r\n');
  const match = STATUS_LINE.exec(statusLine);
  if (match === null) throw new MalformedResponseError('not a status line');
  const status = Number(match[1]);
  let keepAlive = statusLine.startsWith('HTTP/1.1');
  let framing: Framing = { kind: 'until-close' };
  for (const line of lines) {
    const colon = line.indexOf(':');
    const name = line.slice(0, colon).toLowerCase();
    const value = line.slice(colon + 1).trim();
    if (name === 'connection') keepAlive = value.toLowerCase() !== 'close';
    else if (name === 'transfer-encoding') framing = { kind: 'chunked' };
    else if (name === 'content-length' && framing.kind !== 'chunked') {
      if (!/^\d{1,15}$/.test(value)) throw new MalformedResponseError('content-length is not a number');
      framing = { kind: 'length', length: Number(value) };
    }
  }
  if (status === 204 || status === 304) framing = { kind: 'length', length: 0 };
  return { status, keepAlive, framing };
}

/** Decodes a chunked body incrementally. */
class ChunkedBodyDecoder {
  private readonly chunks: Buffer[] = [];
  private inTrailer = false;

  /** Consumes the complete chunks of `raw`. Returns whether the body is complete, and the remaining bytes. */
  push(raw: Buffer): { readonly complete: boolean; readonly rest: Buffer } {
    let rest = raw;
    for (;;) {
      const lineEnd = rest.indexOf(LINE_END);
      if (lineEnd < 0) return { complete: false, rest };
      if (this.inTrailer) {
        rest = rest.subarray(lineEnd + LINE_END.length);
        if (lineEnd === 0) return { complete: true, rest };
        continue;
      }
      const size = Number.parseInt(rest.toString('latin1', 0, lineEnd), 16);
      if (!Number.isSafeInteger(size) || size < 0) throw new MalformedResponseError('not a chunk size');
      const dataStart = lineEnd + LINE_END.length;
      if (size === 0) {
        this.inTrailer = true;
        rest = rest.subarray(dataStart);
        continue;
      }
      if (rest.length < dataStart + size + LINE_END.length) return { complete: false, rest };
      this.chunks.push(rest.subarray(dataStart, dataStart + size));
      rest = rest.subarray(dataStart + size + LINE_END.length);
    }
  }

  get body(): Buffer {
    return Buffer.concat(this.chunks);
  }
}

/** Parses one response from the bytes of a connection, however they are split. */
export class ResponseReader {
  private received: Buffer[] = [];
  private size = 0;
  private head: Head | null = null;
  private chunked = new ChunkedBodyDecoder();

  /**
   * Adds received bytes. Returns the response once it is complete, and null before that. Throws a
   * MalformedResponseError if the bytes are not a response.
   */
  push(data: Buffer): HttpResponse | null {
    this.received.push(data);
    this.size += data.length;
    while (this.head === null) {
      const raw = this.receivedBytes();
      const end = raw.indexOf(HEAD_END);
      if (end < 0) {
        if (raw.length > MAX_HEAD_BYTES) throw new MalformedResponseError('the head is too long');
        return null;
      }
      const head = parseHead(raw.toString('latin1', 0, end));
      this.setReceived(raw.subarray(end + HEAD_END.length));
      // A response with status 1xx is followed by the final response.
      if (head.status >= 200) this.head = head;
    }
    return this.responseIfComplete(this.head);
  }

  /**
   * Called when the connection has ended, which completes a body without a length. Returns null if the response is
   * incomplete.
   */
  close(): HttpResponse | null {
    if (this.head?.framing.kind !== 'until-close') return null;
    return { status: this.head.status, body: this.receivedBytes(), keepAlive: false };
  }

  private responseIfComplete(head: Head): HttpResponse | null {
    const { status, keepAlive, framing } = head;
    if (framing.kind === 'until-close') return null;
    if (framing.kind === 'length') {
      if (this.size < framing.length) return null;
      return { status, keepAlive, body: this.receivedBytes().subarray(0, framing.length) };
    }
    const { complete, rest } = this.chunked.push(this.receivedBytes());
    this.setReceived(rest);
    return complete ? { status, keepAlive, body: this.chunked.body } : null;
  }

  private receivedBytes(): Buffer {
    if (this.received.length !== 1) this.received = [Buffer.concat(this.received)];
    return this.received[0] ?? Buffer.alloc(0);
  }

  private setReceived(rest: Buffer): void {
    this.received = [rest];
    this.size = rest.length;
  }
}
