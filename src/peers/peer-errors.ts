/** Errors on connections between controllers. */

/** Thrown when an incoming connection does not start with the name of a configured peer. */
export class UnknownPeerError extends Error {
  override readonly name = 'UnknownPeerError';

  /** Creates the error. `peerName` is the value received in place of a peer's name. */
  constructor(readonly peerName: unknown) {
    super('the connection does not start with the name of a configured peer');
  }
}

/** Thrown when the body length at the start of a frame exceeds the size limit. */
export class PeerFrameTooLargeError extends Error {
  override readonly name = 'PeerFrameTooLargeError';

  /** Creates the error. Both lengths are in bytes. */
  constructor(
    readonly length: number,
    readonly maxLength: number,
  ) {
    super(`peer frame is too large: ${length} bytes, but at most ${maxLength} bytes are allowed`);
  }
}

/** Thrown when the body of a frame cannot be unpacked. `cause` is the error of the decoder. */
export class MalformedPeerFrameError extends Error {
  override readonly name = 'MalformedPeerFrameError';

  constructor(cause: unknown) {
    super('peer frame is malformed', { cause });
  }
}
