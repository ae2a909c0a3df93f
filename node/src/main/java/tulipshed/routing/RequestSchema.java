package tulipshed.routing;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import tulipshed.expression.Attribute;
import tulipshed.expression.EvaluationFrame;
import tulipshed.expression.Schema;
import tulipshed.expression.Type;
import tulipshed.routing.AttributeValue.BooleanValue;
import tulipshed.routing.AttributeValue.DecimalValue;
import tulipshed.routing.AttributeValue.IntegerValue;
import tulipshed.routing.AttributeValue.StringValue;

/** The attributes of a request in expressions. Defines their external names, as used in the operators' file. */
public final class RequestSchema {
    /** The server name that a QUIC client requests (TLS SNI). */
    public static final String SERVER_NAME = "server-name";
    /** The first application protocol that a QUIC client offers (TLS ALPN). */
    public static final String ALPN = "alpn";
    /** The version number of a QUIC client's first packet. */
    public static final String QUIC_VERSION = "quic-version";

    private static final int MAX_FRONTEND_LENGTH = 16;
    private static final int MAX_HANDSHAKE_STRING_LENGTH = 255;

    private final Schema schema = new Schema();
    private final Attribute requestClass;
    private final Attribute tenant;
    private final Attribute key;
    private final Attribute group;
    private final Attribute timeoutMs;
    private final Attribute loadHint;
    private final Attribute retry;
    private final Attribute reconnecting;
    private final Attribute frontend;
    private final Attribute source;
    private final Map<String, Attribute> additional = new LinkedHashMap<>();

    /**
     * Creates the schema of requests for these settings and declarations.
     *
     * @param maxClassLength the maximum number of characters of a class name
     * @param maxTenantLength the maximum number of characters of a tenant name, 0 if there are no tenants
     * @param maxLineLength the maximum number of characters of a key or group unless a lower one is declared
     */
    public RequestSchema(
            int maxClassLength, int maxTenantLength, AttributeDeclarations declarations, int maxLineLength) {
        requestClass = schema.add("class", Type.STRING, false, maxClassLength);
        tenant = schema.add("tenant", Type.STRING, maxTenantLength == 0, maxTenantLength);
        key = schema.add("key", Type.STRING, false, Math.min(maxLineLength, declarations.maxKeyLength()));
        group = schema.add("group", Type.STRING, true, Math.min(maxLineLength, declarations.maxGroupLength()));
        timeoutMs = schema.add("deadline-ms", Type.INTEGER, false, 0);
        loadHint = schema.add("hint", Type.DECIMAL, true, 0);
        retry = schema.add("retry", Type.BOOLEAN, false, 0);
        reconnecting = schema.add("again", Type.BOOLEAN, false, 0);
        frontend = schema.add("front", Type.STRING, false, MAX_FRONTEND_LENGTH);
        source = schema.add("source-address", Type.ADDRESS, false, 0);
        addAdditional(SERVER_NAME, Type.STRING, MAX_HANDSHAKE_STRING_LENGTH);
        addAdditional(ALPN, Type.STRING, MAX_HANDSHAKE_STRING_LENGTH);
        addAdditional(QUIC_VERSION, Type.INTEGER, 0);
        declarations.byName().forEach((name, declared) -> addAdditional(name, declared.type(), declared.maxLength()));
    }

    private void addAdditional(String name, Type type, int maxLength) {
        additional.put(name, schema.add(name, type, true, maxLength));
    }

    /** Returns the names that expressions may use under these declarations. */
    public static Collection<String> names(AttributeDeclarations declarations) {
        return new RequestSchema(1, 1, declarations, 1).schema.names();
    }

    /** Returns the attributes. */
    public Schema schema() {
        return schema;
    }

    /** Sets the attributes of a request in a frame. */
    void fill(EvaluationFrame frame, RequestAttributes request) {
        frame.begin();
        frame.set(requestClass, request.className());
        if (request.tenant() != null) {
            frame.set(tenant, request.tenant());
        }
        frame.set(key, request.key());
        if (request.group() != null) {
            frame.set(group, request.group());
        }
        frame.set(timeoutMs, (long) request.timeoutMs());
        if (request.loadHintUsPerS() > 0) {
            frame.set(loadHint, request.loadHintUsPerS());
        }
        frame.set(retry, request.retry());
        frame.set(reconnecting, request.reconnecting());
        fillOrigin(frame, request.origin());
    }

    private void fillOrigin(EvaluationFrame frame, RequestOrigin origin) {
        frame.set(frontend, origin.frontend());
        frame.set(source, origin.sourceHigh(), origin.sourceLow());
        if (!origin.additional().isEmpty()) {
            origin.additional().forEach((name, value) -> setAdditional(frame, additional.get(name), value));
        }
    }

    /** Sets an additional attribute; ignored if its declaration was changed or removed after the request arrived. */
    private static void setAdditional(EvaluationFrame frame, Attribute attribute, AttributeValue value) {
        if (attribute == null) {
            return;
        }
        Type type = attribute.type();
        if (value instanceof StringValue string
                && type == Type.STRING
                && string.value().length() <= attribute.maxLength()) {
            frame.set(attribute, string.value());
        } else if (value instanceof IntegerValue integer && type == Type.INTEGER) {
            frame.set(attribute, integer.value());
        } else if (value instanceof IntegerValue integer && type == Type.DECIMAL) {
            frame.set(attribute, (double) integer.value());
        } else if (value instanceof DecimalValue decimal && type == Type.DECIMAL) {
            frame.set(attribute, decimal.value());
        } else if (value instanceof BooleanValue bool && type == Type.BOOLEAN) {
            frame.set(attribute, bool.value());
        }
    }

    /**
     * Whether none of the class, key, tenant and group of the request exceeds its maximum length, on which expressions rely;
     * frontends check the strings on arrival.
     */
    boolean fits(RequestAttributes request) {
        return request.className().length() <= requestClass.maxLength()
                && request.key().length() <= key.maxLength()
                && (request.tenant() == null || request.tenant().length() <= tenant.maxLength())
                && (request.group() == null || request.group().length() <= group.maxLength());
    }
}
