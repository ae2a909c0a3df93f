package tulipshed.lineprotocol;

/** The state of a client connection; transitions only go forward. */
enum ClientState {
    /** The open command has not arrived yet. */
    OPENING,
    /** The request has no response yet. */
    PENDING,
    /** An endpoint serves the request. */
    RELAYING,
    /** The last line is queued or written; further input is discarded. */
    CLOSING
}
