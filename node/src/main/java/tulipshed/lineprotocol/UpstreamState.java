package tulipshed.lineprotocol;

/** How far the connection of an attempt has come; it never goes back. */
enum UpstreamState {
    /** The connection is being made. */
    CONNECTING,
    /** The open command was sent; the response is awaited. */
    AWAITING_RESPONSE,
    /** The endpoint serves the request. */
    ESTABLISHED,
    /** Ended or abandoned. */
    CLOSED
}
