package tulipshed.quic;

/** What the owner of a {@link ConnectionStateMachine} has to do with a datagram, or after a check of timeouts. */
enum ConnectionAction {
    /** Nothing; a datagram is dropped. */
    DROP,
    /** Wait for the rest of the ClientHello; the datagram is retained. */
    AWAIT_CLIENT_HELLO,
    /** The ClientHello is complete: start a request. */
    START_REQUEST,
    /** Refuse the client, which sent something else than a ClientHello. */
    REFUSE_MALFORMED,
    /** Refuse the client, whose ClientHello exceeds a limit. */
    REFUSE_INCOMPLETE,
    /** The client has closed the connection. */
    CLIENT_CLOSED,
    /** Forward the datagram to the other side. */
    FORWARD,
    /** The endpoint has accepted the connection: establish it, and forward the datagram to the client. */
    ESTABLISH,
    /** Forward the endpoint's Retry to the client, which starts again with another ID. */
    FORWARD_RETRY,
    /** The endpoint has refused the connection. */
    ENDPOINT_REFUSED,
    /** The endpoint has failed. */
    ENDPOINT_FAILED,
    /** Repeat the final answer to the client. */
    REPEAT_ANSWER,
    /** The endpoint has become unresponsive. */
    ENDPOINT_UNRESPONSIVE,
    /** The idle timeout has expired (RFC 9000 section 10.1). */
    IDLE_TIMEOUT,
    /** Remove the connection. */
    REMOVE
}
