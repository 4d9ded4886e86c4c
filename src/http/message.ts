/** Messages, errors and interfaces of the HTTP layer, for the server and the client side. */

/** A request as the server passes it to its handler. */
export interface HttpRequest {
  method: string;
  /** The request target without its query. */
  path: string;
  /** The part of the request target after the question mark. Empty if there is none. */
  query: string;
  body: string;
}

/** A response that a handler returns or that a client receives. */
export interface HttpResponse {
  status: number;
  body: string;
  /** Value of the `Retry-After` header in seconds. Only handlers set it; the client ignores the header. */
  retryAfterS?: number;
  /** Media type of the body. Defaults to JSON. */
  contentType?: string;
  /** Set by a handler to make the server close the connection after this response. */
  closesConnection?: boolean;
}

/** Sends the response to one request. */
export type ResponseCallback = (response: HttpResponse) => void;
/** Handles one request and calls `respond` when its response is known. */
export type RequestHandler = (request: HttpRequest, respond: ResponseCallback) => void;

/**
 * What is known about a request whose call failed. An `unsent` request was never executed. An `unclear` request may have been
 * executed, or may still be executed later.
 */
export type HttpCallFailure = 'unsent' | 'unclear';

/** A call that ended without a usable response. */
export class HttpCallError extends Error {
  constructor(
    readonly failure: HttpCallFailure,
    reason: string,
  ) {
    super(reason);
  }
}

/** A call whose response exceeded the size limit of the client. The request was executed. */
export class ResponseTooLargeError extends HttpCallError {
  constructor(reason: string) {
    super('unclear', reason);
  }
}

/** An HTTP client. The real one uses sockets, and tests use one with a simulated network. */
export interface HttpClient {
  /**
   * Sends a request and resolves with its response. Rejects with an `HttpCallError` if the call fails or if no response arrives
   * within `timeoutMs`.
   */
  call(
    address: string,
    method: string,
    target: string,
    body: string | undefined,
    timeoutMs: number,
  ): Promise<HttpResponse>;
}
