package tulipshed.lineprotocol;

/** How far a client's connection has come; it never goes back. */
enum ClientState {
    /** The open command is awaited. */
    OPENING,
    /** The request awaits its response. */
    PENDING,
    /** An endpoint serves the request. */
    RELAYING,
    /** The last line is queued or written; further input is dropped. */
    CLOSING
}
