package tulipshed.discovery;

/**
 * The position of a watch in the history of discovery's endpoint list: the version received last, and what the next
 * request has to ask for. Confined to the event-loop thread.
 */
final class EndpointListCursor {
    private static final String LIST_PATH = "/discovery/hosts";

    private long version;
    private boolean fullListRequired;
    private boolean catchUpRequired;

    /** The version of the list received last; 0 where none is known. */
    long version() {
        return version;
    }

    /** The next request asks for the full list, which discovery returns at once. */
    void requireFullList() {
        fullListRequired = true;
    }

    /** The next request asks for the changes so far, without waiting for further ones. */
    void requireCatchUp() {
        catchUpRequired = true;
    }

    /** The next request; it waits up to {@code longPollMs} for changes where nothing is required at once. */
    ListRequest nextRequest(double longPollMs) {
        if (fullListRequired) {
            return new ListRequest(LIST_PATH, 0);
        }
        double waitMs = catchUpRequired ? 0 : longPollMs;
        return new ListRequest(LIST_PATH + "?index=" + version + "&wait=" + (long) waitMs, waitMs);
    }

    /** Moves on to the version of a list that was received, or was known before. */
    void advance(EndpointListUpdate update) {
        // Changes that lead back to an older version do not show what the list contains at that version.
        fullListRequired = !fullListRequired && !update.full() && update.version() < version;
        version = update.version();
        catchUpRequired = false;
    }
}
