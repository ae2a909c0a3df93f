package tulipshed.quic;

/** A datagram that is not of QUIC, or not one for this node; it is dropped. */
final class MalformedPacketException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedPacketException(String message) {
        super(message);
    }
}
