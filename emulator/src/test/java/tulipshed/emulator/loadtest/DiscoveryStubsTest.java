package tulipshed.emulator.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.emulator.policy.EndpointListing;
import tulipshed.proxy.EndpointListEntry;

/** What the stubs of discovery record of their responses. */
class DiscoveryStubsTest {
    private static final InetSocketAddress ENDPOINT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 9);

    /** Regression: the response to a watch of a process that had been killed counted as notified to the next process. */
    @Test
    void responseToAnEarlierProcessIsNotOneToTheNext() throws Exception {
        RunClock clock = new RunClock();
        clock.start();
        DiscoveryStubs stubs = new DiscoveryStubs(clock);
        stubs.addNode();
        try (Socket earlier = watch(stubs)) {
            double nextProcessStartedMs = clock.elapsedMs();
            publish(stubs);
            assertTrue(earlier.getInputStream().read() >= 0);
            DiscoveryStubs.ListNotification notification = awaitNotification(stubs);
            assertEquals("DRAINING", notification.statusById().get("s-1"));
            assertTrue(notification.sentAtMs() >= nextProcessStartedMs);
            assertFalse(notification.isForProcessStartedAt(nextProcessStartedMs));
            assertTrue(notification.isForProcessStartedAt(0));
        } finally {
            stubs.close();
        }
    }

    /** A watch that the stub has received: a first response shows that the second request on the connection is read. */
    private static Socket watch(DiscoveryStubs stubs) throws IOException, InterruptedException {
        InetSocketAddress address = stubs.address(0);
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.getOutputStream()
                .write("GET /discovery/hosts?index=0&wait=60000 HTTP/1.1\r\nHost: d\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
        while (!stubs.isRequestPending(0)) {
            Thread.onSpinWait();
        }
        return socket;
    }

    private static void publish(DiscoveryStubs stubs) {
        EndpointInfo info = new EndpointInfo("s-1", EndpointStatus.DRAINING, "s0", 0, "std", 1, 0);
        stubs.publish(0, new EndpointListing(0, new EndpointListEntry(info, ENDPOINT), 0), ENDPOINT, 0);
    }

    private static DiscoveryStubs.ListNotification awaitNotification(DiscoveryStubs stubs) {
        DiscoveryStubs.ListNotification notification = stubs.pollNotification();
        while (notification == null) {
            Thread.onSpinWait();
            notification = stubs.pollNotification();
        }
        return notification;
    }
}
