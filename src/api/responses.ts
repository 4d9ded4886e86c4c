/** Responses that several routes of the user API share. */
import { RETRY_AFTER_S } from '../constants.js';
import type { HttpResponse } from '../http/message.js';
import { formatJson } from '../wire/json.js';

/** The response if the controller can't decide now. The user has to retry later. */
export const TRY_AGAIN: HttpResponse = {
  status: 503,
  body: '{"error":"try again"}',
  retryAfterS: RETRY_AFTER_S,
};

/** A response with a JSON body. */
export const jsonResponse = (status: number, body: unknown): HttpResponse => ({
  status,
  body: formatJson(body),
});

/** A response that says what is wrong with the request. */
export const errorResponse = (status: number, error: string): HttpResponse => jsonResponse(status, { error });
