package tulipshed.emulator.loadtest;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.demo.StubDiscovery;
import tulipshed.emulator.policy.EndpointListing;

/** The stubs of discovery of a run: one for each node, so that it is known what each node has been notified of. */
final class DiscoveryStubs {
    private final RunClock clock;
    private final List<StubDiscovery> stubs = new ArrayList<>();
    private final Queue<ListNotification> notifications = new ConcurrentLinkedQueue<>();

    /**
     * A response to a node, written by a stub's thread.
     *
     * @param requestedAtMs when its request came, in milliseconds of the run
     * @param sentAtMs when it was written, in milliseconds of the run
     * @param statusById the external status of each endpoint that the response names
     */
    record ListNotification(int node, double requestedAtMs, double sentAtMs, Map<String, String> statusById) {
        /** Whether the request is one of the process that started then, or of a later one: an earlier one is gone. */
        boolean isForProcessStartedAt(double startedMs) {
            return requestedAtMs >= startedMs;
        }
    }

    DiscoveryStubs(RunClock clock) {
        this.clock = clock;
    }

    /** Starts the stub of the next node. */
    void addNode() throws IOException {
        int node = stubs.size();
        StubDiscovery stub = new StubDiscovery();
        stub.setNotificationListener((receivedNanoTime, statusById) -> notifications.add(
                new ListNotification(node, clock.toRunMs(receivedNanoTime), clock.elapsedMs(), statusById)));
        stubs.add(stub);
    }

    /** The address at which the stub of a node listens. */
    InetSocketAddress address(int node) {
        return stubs.get(node).address();
    }

    /** Publishes the entry of an endpoint to one node, with the address at which that node reaches it. */
    void publish(int node, EndpointListing listing, InetSocketAddress address, long startedEpochMs) {
        EndpointInfo info = listing.entry().info();
        String status = info.status() == EndpointStatus.REMOVED
                ? "DELETED"
                : info.status().name();
        stubs.get(node)
                .publish(info.id(), address, info.zone(), info.machineType(), status, info.weight(), startedEpochMs);
    }

    /** Whether a request of a node is received and not answered. */
    boolean isRequestPending(int node) {
        return stubs.get(node).pendingRequests() > 0;
    }

    /** The next response in the order in which they were written, or null. */
    ListNotification pollNotification() {
        return notifications.poll();
    }

    /** Lets all stubs fail their calls, or answer them again. */
    void setUnavailable(boolean unavailable) {
        stubs.forEach(stub -> stub.setUnavailable(unavailable));
    }

    /** The bytes of lists that a node was sent. */
    long listBytes(int node) {
        return stubs.get(node).listBytes();
    }

    void close() {
        stubs.forEach(StubDiscovery::close);
    }
}
