package tulipshed.quic;

/** Why a datagram, packet, frame or TLS message cannot be read. */
enum PacketDefect {
    EMPTY_DATAGRAM("an empty datagram"),
    NOT_QUIC("not a QUIC packet"),
    CONNECTION_ID_TOO_LONG("a connection ID of more than 20 bytes"),
    LENGTH_EXCEEDS_DATAGRAM("a length beyond the end of the datagram"),
    INITIAL_TOO_SHORT("an Initial too short for a header protection sample"),
    AUTHENTICATION_FAILED("an Initial protected with other keys"),
    FRAME_NOT_ALLOWED("a frame that an Initial must not carry"),
    FRAME_TRUNCATED("a frame beyond the end of its packet"),
    CRYPTO_BUFFER_EXCEEDED("CRYPTO frames beyond the limit of a ClientHello"),
    CRYPTO_DATA_CHANGED("CRYPTO frames that differ at the same offset"),
    NOT_A_CLIENT_HELLO("a TLS message other than a ClientHello"),
    CLIENT_HELLO_LENGTH("a ClientHello whose length is not allowed"),
    CLIENT_HELLO_MALFORMED("a ClientHello whose fields do not fit into it");

    private final String description;

    PacketDefect(String description) {
        this.description = description;
    }

    /** The defect in words. */
    String description() {
        return description;
    }
}
