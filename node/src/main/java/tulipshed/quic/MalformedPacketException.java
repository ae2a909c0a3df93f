package tulipshed.quic;

/** A datagram, packet, frame or TLS message cannot be read. Its sender is unauthenticated, so that nothing of it is shown. */
final class MalformedPacketException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final PacketDefect defect;

    /** A packet with this defect. */
    MalformedPacketException(PacketDefect defect) {
        super(defect.description());
        this.defect = defect;
    }

    /** Why the packet cannot be read. */
    PacketDefect defect() {
        return defect;
    }
}
