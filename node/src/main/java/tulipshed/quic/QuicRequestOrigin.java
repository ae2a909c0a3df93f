package tulipshed.quic;

import java.net.InetSocketAddress;
import tulipshed.routing.AdditionalAttributes;
import tulipshed.routing.AttributeValue.IntegerValue;
import tulipshed.routing.AttributeValue.StringValue;
import tulipshed.routing.RequestOrigin;
import tulipshed.routing.RequestSchema;

/** The origin of a request over QUIC: its client's address, and what the TLS ClientHello says (RFC 8446 section 4.1.2). */
final class QuicRequestOrigin {
    private static final String FRONTEND = "quic";

    private QuicRequestOrigin() {}

    /** The origin for a client's address; {@code clientHello} is null for a resumed connection. */
    static RequestOrigin of(InetSocketAddress client, ClientHelloAssembler clientHello) {
        AdditionalAttributes.Builder attributes = AdditionalAttributes.builder();
        if (clientHello != null) {
            attributes.put(RequestSchema.QUIC_VERSION, new IntegerValue(clientHello.version().number));
            putIfPresent(
                    attributes, RequestSchema.SERVER_NAME, clientHello.hello().serverName());
            putIfPresent(attributes, RequestSchema.ALPN, clientHello.hello().alpn());
        }
        return RequestOrigin.of(FRONTEND, client.getAddress(), attributes.build());
    }

    private static void putIfPresent(AdditionalAttributes.Builder attributes, String name, String value) {
        if (value != null) {
            attributes.put(name, new StringValue(value));
        }
    }
}
