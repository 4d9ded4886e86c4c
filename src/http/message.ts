/** What the HTTP layer hands to the rest, on either side. */
export interface HttpRequest {
  method: string;
  /** Path without the query. */
  path: string;
  query: string;
  body: string;
}

export interface HttpResponse {
  status: number;
  body: string;
  retryAfterS?: number;
  /** Whether the connection ends with this answer. */
  close?: boolean;
}

export type Respond = (response: HttpResponse) => void;
export type Handler = (request: HttpRequest, respond: Respond) => void;

/** `unsent`: surely never executed. `unclear`: may have been executed, or may be later. */
export type CallFailure = 'unsent' | 'unclear';

export class CallError extends Error {
  constructor(
    readonly failure: CallFailure,
    reason: string,
  ) {
    super(reason);
  }
}

/** The answer was larger than we take; the request was executed. */
export class AnswerTooLargeError extends CallError {
  constructor(reason: string) {
    super('unclear', reason);
  }
}

/** Calls other hosts; the real one uses sockets, tests use a simulated network. */
export interface HttpCaller {
  call(
    address: string,
    method: string,
    target: string,
    body: string | undefined,
    timeoutMs: number,
  ): Promise<HttpResponse>;
}
