package tulipshed.proxy;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The requests reported to the decision module, by id: those that are pending or established, and those with a final
 * response whose attempt is still open. Confined to the event-loop thread.
 */
final class RequestTable {
    private final Map<Long, Request> requests = new HashMap<>();
    private long lastId;

    /** Returns a new id, unique within this process; the first is 1. */
    long nextId() {
        return ++lastId;
    }

    /** Assigns an id to the request and adds it to the table, where it stays until {@link #removeIfFinished}. */
    void register(Request request) {
        request.assignId(nextId());
        requests.put(request.id(), request);
    }

    /** The request with that id, null if there is none or it has been removed. */
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
