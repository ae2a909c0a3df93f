package tulipshed.routing;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import tulipshed.expression.Attribute;
import tulipshed.expression.EvaluationFrame;
import tulipshed.expression.Schema;
import tulipshed.expression.Type;

/** What expressions may ask of a transaction. */
public final class RequestSchema {
    /** What a client of QUIC says in the clear, in the names of expressions. */
    public static final String SERVER_NAME = "server-name";

    public static final String ALPN = "alpn";
    public static final String QUIC_VERSION = "quic-version";
    private static final int LONGEST_FRONT = 16;
    private static final int LONGEST_SAID = 255;

    private final Schema schema = new Schema();
    private final Attribute requestClass;
    private final Attribute tenant;
    private final Attribute key;
    private final Attribute group;
    private final Attribute deadline;
    private final Attribute hint;
    private final Attribute retry;
    private final Attribute again;
    private final Attribute front;
    private final Attribute source;
    private final Map<String, Attribute> figures = new LinkedHashMap<>();

    /** For settings whose names of classes and tenants are that long at most; 0 where there are no tenants. */
    public RequestSchema(int longestClass, int longestTenant, Declarations declared, int longestLine) {
        requestClass = schema.add("class", Type.STRING, false, longestClass);
        tenant = schema.add("tenant", Type.STRING, longestTenant == 0, longestTenant);
        key = schema.add("key", Type.STRING, false, Math.min(longestLine, declared.longestKey()));
        group = schema.add("group", Type.STRING, true, Math.min(longestLine, declared.longestGroup()));
        deadline = schema.add("deadline-ms", Type.INTEGER, false, 0);
        hint = schema.add("hint", Type.DECIMAL, true, 0);
        retry = schema.add("retry", Type.BOOLEAN, false, 0);
        again = schema.add("again", Type.BOOLEAN, false, 0);
        front = schema.add("front", Type.STRING, false, LONGEST_FRONT);
        source = schema.add("source-address", Type.ADDRESS, false, 0);
        figures.put(SERVER_NAME, schema.add(SERVER_NAME, Type.STRING, true, LONGEST_SAID));
        figures.put(ALPN, schema.add(ALPN, Type.STRING, true, LONGEST_SAID));
        figures.put(QUIC_VERSION, schema.add(QUIC_VERSION, Type.INTEGER, true, 0));
        declared.figures().forEach((name, f) -> figures.put(name, schema.add(name, f.type(), true, f.longest())));
    }

    /** The names that expressions may use where these figures are declared. */
    public static Collection<String> names(Declarations declared) {
        return new RequestSchema(1, 1, declared, 1).schema.names();
    }

    /** The attributes. */
    public Schema schema() {
        return schema;
    }

    /** Puts one transaction into a frame. */
    void fill(EvaluationFrame f, RequestAttributes s) {
        f.begin();
        f.set(requestClass, s.className());
        if (s.tenant() != null) {
            f.set(tenant, s.tenant());
        }
        f.set(key, s.key());
        if (s.group() != null) {
            f.set(group, s.group());
        }
        f.set(deadline, (long) s.waitMs());
        if (s.hint() > 0) {
            f.set(hint, s.hint());
        }
        f.set(retry, s.repeat());
        f.set(again, s.returning());
        f.set(front, s.origin().front());
        f.set(source, s.origin().sourceHigh(), s.origin().sourceLow());
        if (!s.origin().figures().isEmpty()) {
            s.origin().figures().forEach((name, value) -> set(f, figures.get(name), value));
        }
    }

    private static void set(EvaluationFrame f, Attribute a, Object value) {
        if (a == null) {
            return; // declared no more since the line was read
        } else if (value instanceof String text && a.type() == Type.STRING && text.length() <= a.longest()) {
            f.set(a, text);
        } else if (value instanceof Long whole && a.type() == Type.INTEGER) {
            f.set(a, (long) whole);
        } else if (value instanceof Long whole && a.type() == Type.DECIMAL) {
            f.set(a, (double) whole);
        } else if (value instanceof Double fraction && a.type() == Type.DECIMAL) {
            f.set(a, (double) fraction);
        } else if (value instanceof Boolean truth && a.type() == Type.BOOLEAN) {
            f.set(a, (boolean) truth);
        }
    }

    /** Whether a transaction's texts are as short as expressions were promised; fronts see to it at the first line. */
    boolean fits(RequestAttributes s) {
        return s.className().length() <= requestClass.longest()
                && s.key().length() <= key.longest()
                && (s.tenant() == null || s.tenant().length() <= tenant.longest())
                && (s.group() == null || s.group().length() <= group.longest());
    }
}
