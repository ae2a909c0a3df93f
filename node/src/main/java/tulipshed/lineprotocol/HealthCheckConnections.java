package tulipshed.lineprotocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.Outcome;
import tulipshed.proxy.Endpoint;
import tulipshed.proxy.HealthChecker;

/**
 * Checks the health of endpoints over persistent connections, since opening a connection costs the endpoint more than the
 * check itself. There is at most one connection per endpoint; their number is bounded, and idle ones are closed. Confined to
 * the event-loop thread.
 */
final class HealthCheckConnections implements HealthChecker {
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;
    private static final boolean IN_ACCESS_ORDER = true;

    private final FrontendContext context;
    /** Connections by endpoint ID, least recently used first. */
    private final Map<String, HealthCheckConnection> connections =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, IN_ACCESS_ORDER);

    private boolean isStopped;

    HealthCheckConnections(FrontendContext context) {
        this.context = context;
    }

    @Override
    public void check(Endpoint endpoint) {
        HealthCheckConnection connection = connections.get(endpoint.id());
        if (connection != null
                && !connection.isChecking()
                && !connection.address().equals(endpoint.address())) {
            connection.close();
            connection = null;
        }
        if (connection == null && !isStopped && ensureCapacity()) {
            connection = new HealthCheckConnection(this, context, endpoint);
            connections.put(endpoint.id(), connection);
        }
        if (connection == null) {
            context.core().healthCheckCompleted(endpoint.id(), Outcome.UNUSED, LoadReport.NONE);
        } else if (!connection.isChecking()) {
            connection.check();
        }
    }

    /** Ends all checks, closes all connections and starts no further checks. */
    void stop() {
        isStopped = true;
        snapshot().forEach(connection -> connection.end(Outcome.UNUSED));
    }

    /** Closes the connections whose idle timeout has expired. */
    void closeIdle(double nowMs) {
        double idleTimeoutMs = context.limits().healthChecks().idleTimeoutMs();
        for (HealthCheckConnection connection : snapshot()) {
            if (!connection.isChecking() && nowMs >= connection.lastUsedMs() + idleTimeoutMs) {
                connection.close();
            }
        }
    }

    /** Removes a connection that is being closed. */
    void removeClosed(String endpointId, HealthCheckConnection connection) {
        connections.remove(endpointId, connection);
    }

    /** Whether one more connection may be opened; closes the least recently used idle one if the limit is reached. */
    private boolean ensureCapacity() {
        int maxConnections = context.limits().healthChecks().connections();
        if (connections.size() >= maxConnections) {
            connections.values().stream()
                    .filter(connection -> !connection.isChecking())
                    .findFirst()
                    .ifPresent(HealthCheckConnection::close);
        }
        return connections.size() < maxConnections && context.eventLoop().hasCapacityForUpstream();
    }

    private List<HealthCheckConnection> snapshot() {
        return new ArrayList<>(connections.values());
    }
}
