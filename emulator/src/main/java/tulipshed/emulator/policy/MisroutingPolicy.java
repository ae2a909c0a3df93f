package tulipshed.emulator.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** The node's core behind a defect that sends attempts to an endpoint that the core would not choose. */
abstract class MisroutingPolicy extends ForwardingPolicy {
    private final PolicyHost host;
    private final Policy core;
    private final Map<Integer, Double> notServingSinceMs = new HashMap<>();
    private final Map<Integer, Double> startedMs = new HashMap<>();

    MisroutingPolicy(PolicyHost host, Map<String, Integer> endpointIndexes) {
        this.host = host;
        core = new CorePolicy(new MisroutingHost(host), endpointIndexes);
    }

    /**
     * Whether attempts are misrouted to an endpoint.
     *
     * @param notServingSinceMs when the node was notified that it does not serve; NaN where it serves
     * @param startedMs when its process started; NaN where it does not serve or the start is not known
     */
    abstract boolean isWrongTarget(double nowMs, double notServingSinceMs, double startedMs);

    @Override
    final Policy delegate() {
        return core;
    }

    @Override
    public void endpointsChanged(EndpointListDelivery delivery) {
        for (EndpointListing listing : delivery.listings()) {
            if (listing.isServing()) {
                notServingSinceMs.remove(listing.endpoint());
                long startedUs = listing.entry().info().startedUs();
                if (startedUs > 0) {
                    startedMs.put(listing.endpoint(), startedUs / 1000.0);
                }
            } else {
                notServingSinceMs.putIfAbsent(listing.endpoint(), host.nowMs());
                startedMs.remove(listing.endpoint());
            }
        }
        super.endpointsChanged(delivery);
    }

    /** The lowest index of a wrong target; the right endpoint where there is none. */
    private int misroute(int endpoint) {
        TreeSet<Integer> candidates = new TreeSet<>(notServingSinceMs.keySet());
        candidates.addAll(startedMs.keySet());
        for (int candidate : candidates) {
            double sinceMs = notServingSinceMs.getOrDefault(candidate, Double.NaN);
            double startMs = startedMs.getOrDefault(candidate, Double.NaN);
            if (isWrongTarget(host.nowMs(), sinceMs, startMs)) {
                return candidate;
            }
        }
        return endpoint;
    }

    private final class MisroutingHost extends ForwardingPolicyHost {
        MisroutingHost(PolicyHost host) {
            super(host);
        }

        @Override
        public EmulatedAttempt startAttempt(ClientRequest request, int endpoint) {
            return host.startAttempt(request, misroute(endpoint));
        }
    }
}
