import { HttpCallError, type HttpClient, type HttpResponse } from '../../src/http/message.js';

/** An HTTP request, as its receiver sees it. */
export interface RecordedCall {
  address: string;
  method: string;
  target: string;
  body: string | undefined;
}

/** Formats a request as one line: the address, the method, the target and the body, if it has one. */
export function formatCall({ address, method, target, body }: RecordedCall): string {
  return [address, method, target, ...(body === undefined ? [] : [body])].join(' ');
}

/** Records all requests and responds to them at once. A request without a response fails with a timeout error. */
export class RecordingCaller implements HttpClient {
  readonly calls: string[] = [];

  constructor(private readonly respond: (call: RecordedCall) => HttpResponse | undefined) {}

  call(
    address: string,
    method: string,
    target: string,
    body: string | undefined,
    _timeoutMs: number,
  ): Promise<HttpResponse> {
    const call = { address, method, target, body };
    this.calls.push(formatCall(call));
    const response = this.respond(call);
    return response ? Promise.resolve(response) : Promise.reject(new HttpCallError('unclear', 'timed out'));
  }
}
