package tulipshed.discovery;

/**
 * Position of a watch in the version history of discovery's endpoint list: the version received last, and which kind of
 * request comes next. Confined to the event-loop thread.
 */
final class EndpointListCursor {
    private static final String LIST_PATH = "/discovery/hosts";

    private long version;

    /** Version that the last request asked for the changes since, or that was current when it asked for the full list. */
    private long requestedVersion;

    private boolean fullListRequired;
    private boolean catchUpRequired;

    /** Version of the list received last; 0 if none was received. */
    long version() {
        return version;
    }

    /** Makes the next request ask for the full list, which discovery returns at once. */
    void requireFullList() {
        fullListRequired = true;
    }

    /** Makes the next request ask for the changes so far, without waiting for further ones. */
    void requireCatchUp() {
        catchUpRequired = true;
    }

    /**
     * Returns the next request; it waits up to {@code longPollMs} milliseconds for changes unless an immediate response
     * is required.
     */
    ListRequest nextRequest(double longPollMs) {
        requestedVersion = version;
        if (fullListRequired) {
            return new ListRequest(LIST_PATH, 0);
        }
        double waitMs = catchUpRequired ? 0 : longPollMs;
        return new ListRequest(LIST_PATH + "?index=" + version + "&wait=" + (long) waitMs, waitMs);
    }

    /**
     * Advances to the version of a list that another process of the node received. The next request asks for the changes
     * since, without waiting for further ones.
     */
    void advanceToPeer(long peerVersion) {
        version = peerVersion;
        catchUpRequired = true;
    }

    /** Whether a response is older than a list of another process that was used since the request was sent. */
    boolean isSuperseded(EndpointListUpdate response) {
        return response.version() >= requestedVersion && response.version() < version;
    }

    /** Advances to the version of a list that was received, or that was cached before the start. */
    void advance(EndpointListUpdate update) {
        // Changes to an older version do not define the full content of the list at that version.
        fullListRequired = !fullListRequired && !update.full() && update.version() < version;
        version = update.version();
        catchUpRequired = false;
    }
}
