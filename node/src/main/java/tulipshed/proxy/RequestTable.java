package tulipshed.proxy;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The requests that the decision module knows, by id: those that are pending, established, or answered with an attempt
 * still open. Confined to the event-loop thread.
 */
final class RequestTable {
    private final Map<Long, Request> requests = new HashMap<>();
    private long lastId;

    /** An id that no request of this process has had; the first is 1. */
    long nextId() {
        return ++lastId;
    }

    /** Assigns an id to the request and keeps the request until {@link #removeIfFinished}. */
    void register(Request request) {
        request.assignId(nextId());
        requests.put(request.id(), request);
    }

    /** The request of that id, or null where there is none (any more). */
    Request find(long id) {
        return requests.get(id);
    }

    /** A live view of all requests, in no particular order. */
    Collection<Request> all() {
        return requests.values();
    }

    /** Removes a request that is neither pending nor has an open attempt. */
    void removeIfFinished(Request request) {
        if (!request.isPending() && request.attempt() == null) {
            requests.remove(request.id());
        }
    }
}
