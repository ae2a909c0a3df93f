package tulipshed.discovery;

/**
 * Request for the endpoint list.
 *
 * @param target the target of the HTTP request: path and query
 * @param waitMs the longest time for which the server may hold its response until there are changes, in milliseconds; 0
 *     for an immediate response
 */
record ListRequest(String target, double waitMs) {
    /** Whether the server may hold its response until there are changes. */
    boolean isLongPoll() {
        return waitMs > 0;
    }
}
