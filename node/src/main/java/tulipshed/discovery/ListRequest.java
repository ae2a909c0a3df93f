package tulipshed.discovery;

/**
 * One request for the endpoint list.
 *
 * @param target the request target of the HTTP request: path and query
 * @param waitMs how long the server may hold back its response until there are changes, in milliseconds; 0 for a response
 *     at once
 */
record ListRequest(String target, double waitMs) {
    /** Whether the server may hold back its response until there are changes. */
    boolean isLongPoll() {
        return waitMs > 0;
    }
}
