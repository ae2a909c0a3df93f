package tulipshed.operators;

/** The field names of all sections and of test cases; they are part of the file format and must not change. */
final class FieldNames {
    // Requests, in rules and in cases.
    static final String CLASS = "class";
    static final String TENANT = "tenant";
    static final String KEY = "key";
    static final String GROUP = "group";
    static final String DEADLINE_MS = "deadline-ms";
    static final String HINT = "hint";
    static final String AGAIN = "again";
    static final String FRONT = "front";
    static final String SOURCE_ADDRESS = "source-address";

    // Pools, rules and routes.
    static final String WHERE = "where";
    static final String WHEN = "when";
    static final String TO = "to";
    static final String SPLIT = "split";
    static final String BELOW = "below";
    static final String BACK = "back";

    // QUIC frontend.
    static final String LISTEN = "listen";
    static final String PREFERRED_ADDRESS = "preferred-address";
    static final String RESET_KEY = "reset-key";

    /** A field of the QUIC section, and an attribute of requests. */
    static final String RETRY = "retry";

    // Connection IDs.
    static final String CONFIGURATION = "configuration";
    static final String SERVER_ID_BYTES = "server-id-bytes";
    static final String NONCE_BYTES = "nonce-bytes";
    static final String CONNECTION_BYTES = "connection-bytes";
    static final String SERVERS = "servers";

    // Retry.
    static final String USE = "use";
    static final String EXPIRES_MS = "expires-ms";
    static final String ON = "on";
    static final String OFF = "off";
    static final String STAY_MS = "stay-ms";

    // Cases and their endpoints.
    static final String GIVEN = "given";
    static final String EXPECT = "expect";
    static final String ZONE = "zone";
    static final String KIND = "kind";
    static final String CELL = "cell";
    static final String WEIGHT = "weight";

    private FieldNames() {}
}
