package tulipshed.quic;

/**
 * Where a connection ID leads by the server ID in it (QUIC-LB section 5).
 *
 * @param endpointId the endpoint that has the server ID
 * @param connectionNumber the endpoint's number of the connection, or {@link #NO_NUMBER}
 */
record ConnectionIdRoute(String endpointId, long connectionNumber) {
    /** In place of a number, where connection IDs carry none. */
    static final long NO_NUMBER = -1;

    /** Whether the connection ID carries the number of its connection. */
    boolean isNumbered() {
        return connectionNumber >= 0;
    }
}
