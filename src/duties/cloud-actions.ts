import type { CloudActions, Offer, RentResult, ReturnResult } from '@pumicehinge/duties';
import { decodeRented, encodeRental, encodeReturn, isNoCapacity } from '../cloud/codec.js';
import { CLOUD_CALL_MS } from '../constants.js';
import type { HttpCaller, HttpResponse } from '../http/message.js';
import { formatJson } from '../wire/json.js';

/** The calls to the cloud that change something, as the holder of a duty makes them. */
export class CloudCalls implements CloudActions {
  constructor(
    private readonly caller: HttpCaller,
    private readonly address: string,
  ) {}

  async rent(name: string, offer: Offer, count: number): Promise<RentResult> {
    const response = await this.post('/hosts', encodeRental(name, offer, count));
    if (response?.status === 200) return readRented(response.body, count);
    if (response?.status === 503 || response?.status === 400)
      return { kind: 'refused', reason: isNoCapacity(response.body) ? 'no capacity' : 'trouble' };
    return { kind: 'unknown', answered: response !== undefined };
  }

  async giveBack(names: string[]): Promise<ReturnResult> {
    const response = await this.post('/hosts/return', encodeReturn(names));
    return response?.status === 200
      ? { kind: 'returned' }
      : { kind: 'unknown', answered: response !== undefined };
  }

  private async post(target: string, body: unknown): Promise<HttpResponse | undefined> {
    try {
      return await this.caller.call(this.address, 'POST', target, formatJson(body), CLOUD_CALL_MS);
    } catch {
      return undefined;
    }
  }
}

/** An answer that does not fit the request is not believed: what was rented shows in the machine list. */
function readRented(text: string, count: number): RentResult {
  let names: string[];
  try {
    names = decodeRented(text);
  } catch {
    return { kind: 'refused', reason: 'trouble' };
  }
  const fits = names.length <= count && new Set(names).size === names.length && !names.includes('');
  return fits ? { kind: 'rented', names } : { kind: 'refused', reason: 'trouble' };
}
