package tulipshed.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Inet6Address;
import java.net.InetSocketAddress;
import java.util.Map;
import tulipshed.config.JsonValues;
import tulipshed.config.MalformedInputException;
import tulipshed.decision.api.EndpointStatus;

/**
 * The JSON form of a {@link SharedEndpointList}: a full list in the format of discovery, with the additional fields
 * {@code discovery} and {@code received}. Processes of different versions exchange it, so fields may be added and must not
 * change.
 */
final class SharedEndpointListFormat {
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final String DISCOVERY = "discovery";
    private static final String RECEIVED = "received";

    private SharedEndpointListFormat() {}

    /** Returns the list as JSON in UTF-8. */
    static byte[] write(SharedEndpointList shared) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = FACTORY.createGenerator(out)) {
            json.writeStartObject();
            json.writeStringField(DISCOVERY, shared.discovery());
            json.writeBooleanField(RECEIVED, shared.isReceived());
            json.writeNumberField("version", shared.list().version());
            json.writeBooleanField("full", true);
            json.writeArrayFieldStart("servers");
            for (ListedEndpoint endpoint : shared.list().entries()) {
                writeEntry(json, endpoint);
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory", e);
        }
        return out.toByteArray();
    }

    private static void writeEntry(JsonGenerator json, ListedEndpoint endpoint) throws IOException {
        json.writeStartObject();
        json.writeStringField("id", endpoint.id());
        json.writeStringField("addr", addressText(endpoint.address()));
        json.writeStringField("zone", endpoint.zone());
        json.writeNumberField("cell", endpoint.cell());
        json.writeStringField("kind", endpoint.machineType());
        json.writeStringField("state", endpoint.status() == EndpointStatus.DRAINING ? "DRAINING" : "SERVING");
        json.writeNumberField("weight", endpoint.weight());
        json.writeNumberField("started_ms", endpoint.started().epochMs());
        json.writeEndObject();
    }

    /**
     * Parses the JSON form.
     *
     * @throws MalformedInputException if the document has another form
     */
    static SharedEndpointList read(byte[] document) {
        Map<String, Object> json = JsonValues.object(document);
        if (!(json.get(DISCOVERY) instanceof String discovery)) {
            throw new MalformedInputException("shared endpoint list without " + DISCOVERY);
        }
        EndpointListUpdate list = EndpointListUpdate.read(json);
        if (!list.full()) {
            throw new MalformedInputException("shared endpoint list is not full");
        }
        return new SharedEndpointList(discovery, Boolean.TRUE.equals(json.get(RECEIVED)), list);
    }

    /** Returns an address in the form {@code host:port} with a numeric host, in brackets if it is an IPv6 address. */
    static String addressText(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (address.getAddress() instanceof Inet6Address ? "[" + host + "]" : host) + ":" + address.getPort();
    }
}
