import { CHECKED_HEADER_BYTES, CHECKED_HEADER_LINES, MAX_HEAD_BYTES, MAX_HEADERS } from '../constants.js';

/** A message as it stood on the wire: start line, headers in lower case, body. */
export interface RawMessage {
  startLine: string;
  headers: Map<string, string>;
  body: Buffer;
  /** Whether the connection stays open after this message. */
  keepAlive: boolean;
}

export class HttpSyntaxError extends Error {
  constructor(
    readonly status: number,
    reason: string,
  ) {
    super(reason);
  }
}

const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const EMPTY = Buffer.alloc(0);

/** A header line as it was checked: name in lower case, value. */
type Header = readonly [name: string, value: string];

/** Header lines that passed their check: each client sends the same few with every request. */
const checkedLines = new Map<string, Header>();

/** Throws HttpSyntaxError for what is no header line. */
function checkHeaderLine(line: string): Header {
  const colon = line.indexOf(':');
  if (colon <= 0) throw new HttpSyntaxError(400, 'bad header');
  const name = line.slice(0, colon);
  const value = line.slice(colon + 1).trim();
  if (!TOKEN.test(name) || /[\x00-\x08\x0a-\x1f\x7f]/.test(value))
    throw new HttpSyntaxError(400, 'bad header');
  const header: Header = [name.toLowerCase(), value];
  if (checkedLines.size < CHECKED_HEADER_LINES && line.length <= CHECKED_HEADER_BYTES)
    checkedLines.set(line, header);
  return header;
}

type Stage = 'head' | 'length' | 'chunkSize' | 'chunkData' | 'chunkEnd' | 'trailer';

/**
 * Incremental and strict HTTP/1.1 parser for requests and responses. Memory is bounded by the head limit
 * plus the body limit; anything ambiguous about where a message ends is refused, not guessed.
 */
export class HttpParser {
  private buffer: Buffer = EMPTY;
  private stage: Stage = 'head';
  private message: RawMessage | undefined;
  private needed = 0;
  private chunks: Buffer[] = [];
  private bodyBytes = 0;
  private trailerBytes = 0;

  constructor(
    private readonly kind: 'request' | 'response',
    private readonly maxBody: number,
  ) {}

  /** True when nothing of a next message has been read. */
  get idle(): boolean {
    return this.stage === 'head' && this.buffer.length === 0;
  }

  /** Takes bytes, returns the messages completed by them. Throws HttpSyntaxError. */
  feed(data: Buffer): RawMessage[] {
    this.buffer = this.buffer.length === 0 ? data : Buffer.concat([this.buffer, data]);
    const complete: RawMessage[] = [];
    for (;;) {
      const message = this.step();
      if (message === 'more') return complete;
      if (message) complete.push(message);
    }
  }

  private step(): RawMessage | 'more' | undefined {
    switch (this.stage) {
      case 'head':
        return this.readHead();
      case 'length':
        if (this.buffer.length < this.needed) return 'more';
        return this.finish(this.take(this.needed));
      case 'chunkSize': {
        const line = this.takeLine(64);
        if (line === undefined) return 'more';
        if (!/^[0-9a-fA-F]{1,8}$/.test(line)) throw new HttpSyntaxError(400, 'bad chunk size');
        this.needed = parseInt(line, 16);
        this.bodyBytes += this.needed;
        if (this.bodyBytes > this.maxBody) throw new HttpSyntaxError(413, 'body too large');
        this.stage = this.needed === 0 ? 'trailer' : 'chunkData';
        return undefined;
      }
      case 'chunkData':
        if (this.buffer.length < this.needed) return 'more';
        this.chunks.push(this.take(this.needed));
        this.stage = 'chunkEnd';
        return undefined;
      case 'chunkEnd':
        if (this.buffer.length < 2) return 'more';
        if (this.take(2).toString('latin1') !== '\r\n') throw new HttpSyntaxError(400, 'bad chunk end');
        this.stage = 'chunkSize';
        return undefined;
      case 'trailer': {
        const line = this.takeLine(MAX_HEAD_BYTES);
        if (line === undefined) return 'more';
        this.trailerBytes += line.length;
        if (this.trailerBytes > MAX_HEAD_BYTES) throw new HttpSyntaxError(431, 'trailer too large');
        return line === '' ? this.finish(Buffer.concat(this.chunks)) : undefined;
      }
    }
  }

  private take(count: number): Buffer {
    const taken = this.buffer.subarray(0, count);
    this.buffer = this.buffer.length === count ? EMPTY : this.buffer.subarray(count);
    return taken;
  }

  private takeLine(limit: number): string | undefined {
    const end = this.buffer.indexOf('\r\n');
    if (end < 0) {
      if (this.buffer.length > limit) throw new HttpSyntaxError(400, 'line too long');
      return undefined;
    }
    if (end > limit) throw new HttpSyntaxError(400, 'line too long');
    return this.take(end + 2).toString('latin1', 0, end);
  }

  private finish(body: Buffer): RawMessage {
    const message = this.message!;
    message.body = body;
    this.message = undefined;
    this.stage = 'head';
    this.chunks = [];
    return message;
  }

  private readHead(): RawMessage | 'more' | undefined {
    const end = this.buffer.indexOf('\r\n\r\n');
    if (end < 0) {
      if (this.buffer.length > MAX_HEAD_BYTES) throw new HttpSyntaxError(431, 'head too large');
      return 'more';
    }
    if (end > MAX_HEAD_BYTES) throw new HttpSyntaxError(431, 'head too large');
    const lines = this.take(end + 4)
      .toString('latin1', 0, end)
      .split('\r\n');
    if (lines.length - 1 > MAX_HEADERS) throw new HttpSyntaxError(431, 'too many headers');
    const startLine = lines[0]!;
    const version = this.checkStartLine(startLine);
    const headers = new Map<string, string>();
    for (let i = 1; i < lines.length; i++) this.addHeader(headers, lines[i]!);
    const connection = (headers.get('connection') ?? '').toLowerCase();
    const keepAlive = version === '1.1' ? !connection.includes('close') : connection.includes('keep-alive');
    if (this.kind === 'request' && version === '1.1' && !headers.has('host'))
      throw new HttpSyntaxError(400, 'no host');
    this.message = { startLine, headers, body: EMPTY, keepAlive };
    return this.beginBody(headers);
  }

  private checkStartLine(line: string): string {
    const pattern =
      this.kind === 'request'
        ? /^[A-Z]{1,16} [\x21-\x7e]+ HTTP\/(1\.[01])$/
        : /^HTTP\/(1\.[01]) \d{3}( .*)?$/;
    const match = pattern.exec(line);
    if (!match) throw new HttpSyntaxError(400, 'bad start line');
    return match[1]!;
  }

  private addHeader(headers: Map<string, string>, line: string): void {
    const [name, value] = checkedLines.get(line) ?? checkHeaderLine(line);
    // Two lengths, or a length and chunks, are how one message is smuggled inside another.
    if (headers.has(name) && (name === 'content-length' || name === 'transfer-encoding' || name === 'host'))
      throw new HttpSyntaxError(400, `repeated ${name}`);
    headers.set(name, value);
  }

  private beginBody(headers: Map<string, string>): RawMessage | undefined {
    const encoding = headers.get('transfer-encoding');
    const length = headers.get('content-length');
    if (encoding !== undefined) {
      if (length !== undefined || encoding.toLowerCase() !== 'chunked')
        throw new HttpSyntaxError(400, 'bad transfer encoding');
      this.stage = 'chunkSize';
      this.bodyBytes = 0;
      this.trailerBytes = 0;
      return undefined;
    }
    if (length === undefined) return this.finish(EMPTY);
    if (!/^\d{1,10}$/.test(length)) throw new HttpSyntaxError(400, 'bad content length');
    this.needed = Number(length);
    if (this.needed > this.maxBody) throw new HttpSyntaxError(413, 'body too large');
    this.stage = 'length';
    return undefined;
  }
}
