package tulipshed.quic;

/** A datagram that is not of QUIC, or not one for this node; it is dropped. */
final class BadPacket extends RuntimeException {
    private static final long serialVersionUID = 1L;

    BadPacket(String message) {
        super(message);
    }
}
