/** The cloud API that holders of leased roles call to launch and terminate nodes. */
import type { CloudProvider, LaunchRequest, LaunchResult, TerminationResult } from '@pumicehinge/duties';
import {
  decodeLaunchedNames,
  decodeRefusalReason,
  encodeLaunch,
  encodeTermination,
  LAUNCH_TARGET,
  TERMINATE_TARGET,
} from '../autoscaler/cloud-codec.js';
import { CLOUD_CALL_TIMEOUT_MS } from '../constants.js';
import type { HttpClient, HttpResponse } from '../http/message.js';
import { formatJson } from '../wire/json.js';

/** Calls the cloud over HTTP. It sends each request once, as the caller decides about retries. */
export class HttpCloudProvider implements CloudProvider {
  /** `address` is the host and port of the cloud. */
  constructor(
    private readonly httpClient: HttpClient,
    private readonly address: string,
  ) {}

  /** Launches nodes. Never rejects. The result is unknown if there is no conclusive answer. */
  async launch(request: LaunchRequest): Promise<LaunchResult> {
    const response = await this.post(LAUNCH_TARGET, encodeLaunch(request));
    if (response?.status === 200) return decodeLaunchResult(response.body, request.nodeCount);
    if (response?.status === 503 || response?.status === 400)
      return { kind: 'refused', reason: decodeRefusalReason(response.body) };
    return { kind: 'unknown', isAnswered: response !== undefined };
  }

  /** Terminates nodes. Never rejects. The result is unknown if there is no conclusive answer. */
  async terminate(names: string[]): Promise<TerminationResult> {
    const response = await this.post(TERMINATE_TARGET, encodeTermination(names));
    return response?.status === 200
      ? { kind: 'terminated' }
      : { kind: 'unknown', isAnswered: response !== undefined };
  }

  private async post(target: string, body: unknown): Promise<HttpResponse | undefined> {
    try {
      return await this.httpClient.call(
        this.address,
        'POST',
        target,
        formatJson(body),
        CLOUD_CALL_TIMEOUT_MS,
      );
    } catch {
      // The request may have arrived, whatever the error is.
      return undefined;
    }
  }
}

/**
 * Decodes the names of launched nodes. An answer that does not match the request counts as a refusal, because the list
 * of instances will show which nodes were launched.
 */
function decodeLaunchResult(text: string, count: number): LaunchResult {
  let names: string[];
  try {
    names = decodeLaunchedNames(text);
  } catch {
    return { kind: 'refused', reason: 'trouble' };
  }
  const matchesRequest = names.length <= count && new Set(names).size === names.length && !names.includes('');
  return matchesRequest ? { kind: 'launched', names } : { kind: 'refused', reason: 'trouble' };
}
