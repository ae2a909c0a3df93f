package tulipshed.emulator.loadtest;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.emulator.policy.ClientRequest;

/** The requests of clients that are open, by their IDs on the wire. */
final class OpenRequests {
    /** The lowest bit of a request's ID in which the index of its node stands; the bits below count its requests. */
    static final int NODE_INDEX_SHIFT = 40;

    private final Map<String, ClientRequest> byId = new HashMap<>();
    private final Set<String> closedIds = new HashSet<>();
    private final boolean keepsClosedIds;

    /** No requests; {@code keepsClosedIds} says whether bytes of a request may still arrive after its client has gone. */
    OpenRequests(boolean keepsClosedIds) {
        this.keepsClosedIds = keepsClosedIds;
    }

    /** Adds a request; returns its ID on the wire. */
    String add(ClientRequest request) {
        String id = idOf(request);
        byId.put(id, request);
        return id;
    }

    /** Removes a request whose client has gone. */
    void remove(ClientRequest request) {
        if (byId.remove(idOf(request)) != null && keepsClosedIds) {
            closedIds.add(idOf(request));
        }
    }

    /** The open request of that ID, or null. */
    ClientRequest find(String id) {
        return byId.get(id);
    }

    /** Whether it is the ID of a request whose client has gone. */
    boolean isClosed(String id) {
        return closedIds.contains(id);
    }

    /** Whether any open request waits for its final response. */
    boolean isAnyPending() {
        return byId.values().stream().anyMatch(request -> request.answerPending);
    }

    /** The open requests; a copy. */
    Collection<ClientRequest> copy() {
        return List.copyOf(byId.values());
    }

    /** The index of the node to which a request was sent. */
    static int nodeIndex(ClientRequest request) {
        return (int) (request.id >>> NODE_INDEX_SHIFT);
    }

    private static String idOf(ClientRequest request) {
        return String.format("%016x", request.id);
    }
}
