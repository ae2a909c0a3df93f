package tulipshed.lineprotocol;

/** The state of an attempt's connection; transitions only go forward. */
enum UpstreamState {
    /** The TCP connection is not made yet. */
    CONNECTING,
    /** The open command was sent; the response has not arrived yet. */
    AWAITING_RESPONSE,
    /** The endpoint serves the request. */
    ESTABLISHED,
    /** The connection has ended or was abandoned. */
    CLOSED
}
