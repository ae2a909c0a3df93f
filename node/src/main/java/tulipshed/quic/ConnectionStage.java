package tulipshed.quic;

/** How far a connection has come. */
enum ConnectionStage {
    /** The client's TLS ClientHello is incomplete. */
    AWAITING_CLIENT_HELLO,
    /** No endpoint has accepted the connection yet. */
    PENDING,
    /** An endpoint serves the connection. */
    ESTABLISHED,
    /** The client has got its final answer, which is repeated for a while (RFC 9000 section 10.2.1). */
    CLOSED
}
