package tulipshed.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.RequestClass;

/** The requests that await a final response or the end of an attempt, by ID. Confined to the event-loop thread. */
final class RequestTable {
    private final long hashSeed;
    private final Map<Long, RequestState> requests = new HashMap<>();
    private final List<RequestState> awaitingHealthChecks = new ArrayList<>();

    /** Creates an empty table; {@code hashSeed} and the ID of a request determine its random numbers. */
    RequestTable(long hashSeed) {
        this.hashSeed = hashSeed;
    }

    /**
     * Adds and returns a request.
     *
     * @param pool the pool that the request is restricted to
     * @param averageLoad load of the connection if the client gave no hint
     */
    RequestState add(long nowUs, NewRequest arrival, RequestClass requestClass, EndpointPool pool, double averageLoad) {
        RequestState request = new RequestState(arrival, requestClass, pool, nowUs, hashSeed, averageLoad);
        requests.put(arrival.id(), request);
        return request;
    }

    /** The request with this ID, or null. */
    RequestState get(long id) {
        return requests.get(id);
    }

    /** The request with this ID if it has an attempt or an established connection, otherwise null. */
    RequestState withEndpoint(long id) {
        RequestState request = requests.get(id);
        return request == null || request.endpoint == null ? null : request;
    }

    /** Removes the request with this ID. */
    void remove(long id) {
        requests.remove(id);
    }

    /** Records that the final response is given; removes the request unless its attempt has not ended. */
    void conclude(RequestState request) {
        request.concluded = true;
        awaitingHealthChecks.remove(request);
        if (request.endpoint == null) {
            remove(request.arrival.id());
        }
    }

    int size() {
        return requests.size();
    }

    /** Adds a request that awaits health checks. */
    void addAwaiting(RequestState request) {
        awaitingHealthChecks.add(request);
    }

    /** Removes a request that no longer awaits health checks. */
    void removeAwaiting(RequestState request) {
        awaitingHealthChecks.remove(request);
    }

    /**
     * Counts a completed health check and returns the requests that await no further ones, in the order in which they
     * were added.
     */
    List<RequestState> completeHealthCheck(EndpointState endpoint) {
        List<RequestState> complete = new ArrayList<>();
        for (RequestState request : awaitingHealthChecks) {
            if (request.completeHealthCheck(endpoint)) {
                complete.add(request);
            }
        }
        return complete;
    }
}
