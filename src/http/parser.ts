/** Parses HTTP/1.1 messages from the bytes of a connection. */
import {
  MAX_CACHED_HEADER_BYTES,
  MAX_CACHED_HEADER_LINES,
  MAX_HEAD_BYTES,
  MAX_HEADER_LINES,
} from '../constants.js';

/** A message that is split into start line, headers and body. The start line and the body are not interpreted. */
export interface RawMessage {
  startLine: string;
  /** Values by header name. The names are in lower case. */
  headers: Map<string, string>;
  body: Buffer;
  /** Whether the connection stays open after this message. */
  keepAlive: boolean;
}

/** A message that is malformed or too large. `status` is the status code of the response to such a request. */
export class HttpSyntaxError extends Error {
  constructor(
    readonly status: number,
    reason: string,
  ) {
    super(reason);
  }
}

/** Returns the largest body, in bytes, of a message with this start line. */
export type BodyLimit = (startLine: string) => number;

/** Pattern of a header name. */
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const EMPTY_BUFFER = Buffer.alloc(0);

/** A validated header line. Its name is in lower case. */
type Header = readonly [name: string, value: string];

/** Cache of validated header lines, because each client sends the same few lines with every request. */
const parsedHeaderLines = new Map<string, Header>();

/** Parses and validates a header line. Throws an `HttpSyntaxError` if the line is invalid. */
function parseHeaderLine(line: string): Header {
  const colon = line.indexOf(':');
  if (colon <= 0) throw new HttpSyntaxError(400, 'header line has no name or no colon');
  const name = line.slice(0, colon);
  const value = line.slice(colon + 1).trim();
  if (!TOKEN.test(name) || /[\x00-\x08\x0a-\x1f\x7f]/.test(value))
    throw new HttpSyntaxError(400, 'invalid character in a header line');
  const header: Header = [name.toLowerCase(), value];
  if (parsedHeaderLines.size < MAX_CACHED_HEADER_LINES && line.length <= MAX_CACHED_HEADER_BYTES)
    parsedHeaderLines.set(line, header);
  return header;
}

/** The part of a message that the parser reads next. */
type Stage = 'head' | 'fixedLengthBody' | 'chunkSize' | 'chunkData' | 'chunkEnd' | 'trailer';

/**
 * Incremental and strict HTTP/1.1 parser for requests and responses. Its memory is bounded by the limits of the head and the
 * body. A message whose end is ambiguous is rejected.
 */
export class HttpParser {
  private buffer: Buffer = EMPTY_BUFFER;
  private stage: Stage = 'head';
  private message: RawMessage | undefined;
  /** Size of the fixed-length body or of the current chunk, in bytes. */
  private expectedBytes = 0;
  private chunks: Buffer[] = [];
  /** Total size of the chunks whose size lines have been read, in bytes. */
  private bodyBytes = 0;
  private trailerBytes = 0;
  /** Bytes of an incomplete fixed-length body that follow those in `buffer`. */
  private bodyParts: Buffer[] = [];
  private bodyPartsBytes = 0;
  private readonly getMaxBodyBytes: BodyLimit;

  constructor(
    private readonly kind: 'request' | 'response',
    /** Size limit of all bodies in bytes, or the limit of each message. */
    maxBodyBytes: number | BodyLimit,
  ) {
    this.getMaxBodyBytes = typeof maxBodyBytes === 'number' ? () => maxBodyBytes : maxBodyBytes;
  }

  /** Whether no byte of the next message has been read. */
  get isIdle(): boolean {
    return this.stage === 'head' && this.buffer.length === 0;
  }

  /** Parses more bytes and returns the messages that they complete. Throws an `HttpSyntaxError` for invalid input. */
  feed(data: Buffer): RawMessage[] {
    if (this.isWithinBody(data)) {
      this.bodyParts.push(data);
      this.bodyPartsBytes += data.length;
      return [];
    }
    this.appendToBuffer(data);
    const complete: RawMessage[] = [];
    for (;;) {
      const message = this.parseNext();
      if (message === 'incomplete') return complete;
      if (message) complete.push(message);
    }
  }

  /** Whether a fixed-length body is incomplete even with this data. Its parts are joined once, when it is complete. */
  private isWithinBody(data: Buffer): boolean {
    const receivedBytes = this.buffer.length + this.bodyPartsBytes + data.length;
    return this.stage === 'fixedLengthBody' && receivedBytes < this.expectedBytes;
  }

  private appendToBuffer(data: Buffer): void {
    if (this.buffer.length === 0 && this.bodyParts.length === 0) this.buffer = data;
    else this.buffer = Buffer.concat([this.buffer, ...this.bodyParts, data]);
    this.bodyParts = [];
    this.bodyPartsBytes = 0;
  }

  /** Parses the next part of a message. Returns the message if that part completes it. */
  private parseNext(): RawMessage | 'incomplete' | undefined {
    switch (this.stage) {
      case 'head':
        return this.readHead();
      case 'fixedLengthBody':
        if (this.buffer.length < this.expectedBytes) return 'incomplete';
        return this.finishMessage(this.consume(this.expectedBytes));
      case 'chunkSize': {
        const line = this.consumeLine(64);
        if (line === undefined) return 'incomplete';
        if (!/^[0-9a-fA-F]{1,8}$/.test(line)) throw new HttpSyntaxError(400, 'invalid chunk size');
        this.expectedBytes = parseInt(line, 16);
        this.bodyBytes += this.expectedBytes;
        this.checkBodySize(this.bodyBytes);
        this.stage = this.expectedBytes === 0 ? 'trailer' : 'chunkData';
        return undefined;
      }
      case 'chunkData':
        if (this.buffer.length < this.expectedBytes) return 'incomplete';
        this.chunks.push(this.consume(this.expectedBytes));
        this.stage = 'chunkEnd';
        return undefined;
      case 'chunkEnd':
        if (this.buffer.length < 2) return 'incomplete';
        if (this.consume(2).toString('latin1') !== '\r\n')
          throw new HttpSyntaxError(400, 'chunk data is not followed by CRLF');
        this.stage = 'chunkSize';
        return undefined;
      case 'trailer': {
        const line = this.consumeLine(MAX_HEAD_BYTES);
        if (line === undefined) return 'incomplete';
        this.trailerBytes += line.length;
        if (this.trailerBytes > MAX_HEAD_BYTES)
          throw new HttpSyntaxError(431, 'trailer section exceeds the size limit');
        return line === '' ? this.finishMessage(Buffer.concat(this.chunks)) : undefined;
      }
    }
  }

  private consume(count: number): Buffer {
    const consumed = this.buffer.subarray(0, count);
    this.buffer = this.buffer.length === count ? EMPTY_BUFFER : this.buffer.subarray(count);
    return consumed;
  }

  /** Returns the next line without its CRLF, or undefined if the line is not complete yet. */
  private consumeLine(maxBytes: number): string | undefined {
    const end = this.buffer.indexOf('\r\n');
    if (end < 0) {
      if (this.buffer.length > maxBytes) throw new HttpSyntaxError(400, 'line exceeds the length limit');
      return undefined;
    }
    if (end > maxBytes) throw new HttpSyntaxError(400, 'line exceeds the length limit');
    return this.consume(end + 2).toString('latin1', 0, end);
  }

  private checkBodySize(bytes: number): void {
    const { startLine } = this.message!;
    const maxBytes = this.getMaxBodyBytes(startLine);
    if (bytes > maxBytes)
      throw new HttpSyntaxError(413, `${startLine}: body of ${bytes} bytes exceeds the limit of ${maxBytes}`);
  }

  private finishMessage(body: Buffer): RawMessage {
    const message = this.message!;
    message.body = body;
    this.message = undefined;
    this.stage = 'head';
    this.chunks = [];
    return message;
  }

  private readHead(): RawMessage | 'incomplete' | undefined {
    const end = this.buffer.indexOf('\r\n\r\n');
    if (end < 0) {
      if (this.buffer.length > MAX_HEAD_BYTES) throw new HttpSyntaxError(431, 'head exceeds the size limit');
      return 'incomplete';
    }
    if (end > MAX_HEAD_BYTES) throw new HttpSyntaxError(431, 'head exceeds the size limit');
    const lines = this.consume(end + 4)
      .toString('latin1', 0, end)
      .split('\r\n');
    if (lines.length - 1 > MAX_HEADER_LINES) throw new HttpSyntaxError(431, 'too many header lines');
    const startLine = lines[0]!;
    const version = this.parseHttpVersion(startLine);
    const headers = new Map<string, string>();
    for (let i = 1; i < lines.length; i++) this.addHeader(headers, lines[i]!);
    const connection = (headers.get('connection') ?? '').toLowerCase();
    const keepAlive = version === '1.1' ? !connection.includes('close') : connection.includes('keep-alive');
    if (this.kind === 'request' && version === '1.1' && !headers.has('host'))
      throw new HttpSyntaxError(400, 'Host header is missing');
    this.message = { startLine, headers, body: EMPTY_BUFFER, keepAlive };
    return this.startBody(headers);
  }

  /** Validates a start line and returns its HTTP version. */
  private parseHttpVersion(line: string): string {
    const pattern =
      this.kind === 'request'
        ? /^[A-Z]{1,16} [\x21-\x7e]+ HTTP\/(1\.[01])$/
        : /^HTTP\/(1\.[01]) \d{3}( .*)?$/;
    const match = pattern.exec(line);
    if (!match) throw new HttpSyntaxError(400, 'invalid start line');
    return match[1]!;
  }

  private addHeader(headers: Map<string, string>, line: string): void {
    const [name, value] = parsedHeaderLines.get(line) ?? parseHeaderLine(line);
    // Two Content-Length headers, or Content-Length together with Transfer-Encoding, allow request smuggling, where one
    // message is hidden inside another. `startBody` rejects the combination of the two headers.
    if (headers.has(name) && (name === 'content-length' || name === 'transfer-encoding' || name === 'host'))
      throw new HttpSyntaxError(400, `repeated ${name} header`);
    headers.set(name, value);
  }

  /** Determines how the body is delimited. Returns the message if its headers announce no body. */
  private startBody(headers: Map<string, string>): RawMessage | undefined {
    const encoding = headers.get('transfer-encoding');
    const length = headers.get('content-length');
    if (encoding !== undefined) {
      if (length !== undefined || encoding.toLowerCase() !== 'chunked')
        throw new HttpSyntaxError(400, 'Transfer-Encoding is unsupported or combined with Content-Length');
      this.stage = 'chunkSize';
      this.bodyBytes = 0;
      this.trailerBytes = 0;
      return undefined;
    }
    if (length === undefined) return this.finishMessage(EMPTY_BUFFER);
    if (!/^\d{1,10}$/.test(length)) throw new HttpSyntaxError(400, 'invalid Content-Length header');
    this.expectedBytes = Number(length);
    this.checkBodySize(this.expectedBytes);
    this.stage = 'fixedLengthBody';
    return undefined;
  }
}
