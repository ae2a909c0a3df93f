package tulipshed.proxy;

import java.util.HashMap;
import java.util.Map;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.Outcome;
import tulipshed.proxy.HotRestartPeer.EstablishedConnection;

/**
 * Replicas of the connections held by the other process of a hot restart. They are reported to the decision module of this
 * process as adopted connections with ids of this process, so that it accounts for the load of their endpoints. Confined to
 * the event-loop thread.
 */
final class ReplicatedConnections {
    private static final int NO_TENANT = -1;
    private static final String NO_KEY = "";

    private final EventBatch events;
    private final EndpointRegistry endpoints;
    private final RequestTable table;
    private final Map<Integer, Replica> replicasBySlot = new HashMap<>();

    private record Replica(long id, EstablishedConnection connection) {}

    ReplicatedConnections(EventBatch events, EndpointRegistry endpoints, RequestTable table) {
        this.events = events;
        this.endpoints = endpoints;
        this.table = table;
    }

    /**
     * Notifies the decision module of connections that ended in the other process since the last call, and then of new ones
     * whose endpoint is known.
     *
     * @param connectionsBySlot all connections that the other process holds now
     */
    void synchronize(Map<Integer, EstablishedConnection> connectionsBySlot) {
        replicasBySlot.entrySet().removeIf(entry -> {
            boolean ended = !entry.getValue().connection().equals(connectionsBySlot.get(entry.getKey()));
            if (ended) {
                notifyEnded(entry.getValue());
            }
            return ended;
        });
        connectionsBySlot.forEach((slot, connection) -> {
            if (!replicasBySlot.containsKey(slot) && endpoints.find(connection.endpointId()) != null) {
                Replica replica = new Replica(table.nextId(), connection);
                replicasBySlot.put(slot, replica);
                notifyEstablished(replica);
            }
        });
    }

    private void notifyEnded(Replica replica) {
        events.add((balancer, nowMs, nowUs) ->
                balancer.attemptEnded(nowUs, replica.id(), 0, true, Outcome.CANCELLED, LoadReport.NONE));
    }

    private void notifyEstablished(Replica replica) {
        EstablishedConnection connection = replica.connection();
        events.add((balancer, nowMs, nowUs) -> balancer.connectionAdopted(
                nowUs,
                new NewRequest(
                        replica.id(),
                        0,
                        NO_TENANT,
                        NO_KEY,
                        connection.group(),
                        0,
                        connection.loadHintUsPerS(),
                        false,
                        false,
                        false),
                connection.endpointId()));
    }
}
