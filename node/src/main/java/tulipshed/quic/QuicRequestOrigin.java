package tulipshed.quic;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import tulipshed.routing.RequestOrigin;
import tulipshed.routing.RequestSchema;

/** The origin of a request over QUIC: its client's address, and what the TLS ClientHello says (RFC 8446 section 4.1.2). */
final class QuicRequestOrigin {
    private static final String FRONTEND = "quic";

    private QuicRequestOrigin() {}

    /** The origin for a client's address; {@code clientHello} is null for a resumed connection. */
    static RequestOrigin of(InetSocketAddress client, ClientHelloAssembler clientHello) {
        Map<String, Object> attributes = new HashMap<>();
        if (clientHello != null) {
            attributes.put(RequestSchema.QUIC_VERSION, clientHello.version().number);
            if (clientHello.hello().serverName() != null) {
                attributes.put(RequestSchema.SERVER_NAME, clientHello.hello().serverName());
            }
            if (clientHello.hello().alpn() != null) {
                attributes.put(RequestSchema.ALPN, clientHello.hello().alpn());
            }
        }
        return RequestOrigin.of(FRONTEND, client.getAddress(), attributes);
    }
}
