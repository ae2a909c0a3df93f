package tulipshed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Frequency of calls to a discovery that is unavailable, overloaded, or unable to hold calls. */
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class EndpointWatchOutageTest extends EndpointWatchFixture {
    private static final int RELOADS = 10;
    private static final String NO_CHANGES = "{\"version\":41,\"full\":false,\"servers\":[]}";

    /** Server that counts calls and responds to each with status 503 until it recovers, then with a list. */
    private static final class OverloadedDiscovery implements AutoCloseable {
        private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final AtomicInteger calls;
        private volatile boolean recovered;

        OverloadedDiscovery(AtomicInteger calls) throws IOException {
            this.calls = calls;
            new Thread(this::serve).start();
        }

        private void serve() {
            try {
                while (true) {
                    try (Socket accepted = socket.accept()) {
                        readRequest(accepted);
                        calls.incrementAndGet();
                        if (recovered) {
                            respond(accepted, "200 OK", listJson(42, true));
                        } else {
                            respond(accepted, "503 Service Unavailable", "");
                        }
                    }
                }
            } catch (IOException closed) {
                return;
            }
        }

        InetSocketAddress address() {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /**
     * Switches the watch back and forth between two addresses; each switch starts a call to the new address at once.
     */
    private void reloadDuringOutage(OverloadedDiscovery one, OverloadedDiscovery other, AtomicInteger calls)
            throws InterruptedException {
        for (int i = 0; i < RELOADS; i++) {
            int before = calls.get();
            InetSocketAddress target = (i % 2 == 0 ? other : one).address();
            loop.execute(() -> watch.setDiscoveryAddress(target));
            for (int polls = 0; calls.get() == before && polls < 500; polls++) {
                assertNull(notificationOtherThanFailure());
            }
        }
    }

    private String notificationOtherThanFailure() throws InterruptedException {
        String next = notifications.poll(10, TimeUnit.MILLISECONDS);
        return "FAILED 0".equals(next) ? null : next;
    }

    /** Returns the number of calls within {@code ms} milliseconds. */
    private int callsWithin(long ms, AtomicInteger calls) throws InterruptedException {
        int before = calls.get();
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (System.nanoTime() < deadlineNs) {
            assertNull(notificationOtherThanFailure());
        }
        return calls.get() - before;
    }

    /**
     * Regression: each call that a reload started in an outage led to a separate series of calls until the outage
     * ended.
     */
    @Test
    void reloadsDuringOutageLeadToNoFurtherSeriesOfCalls() throws Exception {
        acceptConnection().close();
        assertEquals("FAILED 0", nextNotification());
        AtomicInteger calls = new AtomicInteger();
        try (OverloadedDiscovery one = new OverloadedDiscovery(calls);
                OverloadedDiscovery other = new OverloadedDiscovery(calls)) {
            forwardsToBalancer = true;
            loop.execute(() -> core.setEndpointListSource(watch));
            reloadDuringOutage(one, other, calls);
            assertTrue(callsWithin(2_000, calls) <= 2 * RELOADS, "while the requests caused by the reloads arrive");
            int callsInOutage = callsWithin(4_000, calls);
            assertTrue(callsInOutage >= 2 && callsInOutage <= 8, "0.65 to 1.95 s apart, calls: " + callsInOutage);
            one.recovered = true;
            other.recovered = true;
            long recoveredNs = System.nanoTime();
            assertEquals("COMPLETE 1", nextNotification());
            assertTrue(System.nanoTime() - recoveredNs < 2_500_000_000L, "the next call comes within 1.95 s");
        }
    }

    /** Regression: as above with an agent, which is called again without a request by the decision module. */
    @Test
    void reloadsDuringOutageOfAgentLeadToNoFurtherSeriesOfCalls() throws Exception {
        acceptConnection().close();
        assertEquals("FAILED 0", nextNotification());
        loop.execute(() -> watch.setPushed(true));
        AtomicInteger calls = new AtomicInteger();
        try (OverloadedDiscovery one = new OverloadedDiscovery(calls);
                OverloadedDiscovery other = new OverloadedDiscovery(calls)) {
            reloadDuringOutage(one, other, calls);
            int callsInOutage = callsWithin(2_000, calls);
            assertTrue(callsInOutage >= 4 && callsInOutage <= 11, "200 ms apart, calls: " + callsInOutage);
        }
    }

    /** Regression: a discovery that does not hold calls was called again at once, as fast as it responded. */
    @Test
    void pausesBetweenCallsThatAreAnsweredAtOnceWithoutChanges() throws Exception {
        try (Socket socket = acceptConnection()) {
            long startedNs = System.nanoTime();
            int shortenedWaits = 0;
            for (String unchanged : List.of(NO_CHANGES, listJson(41, true))) {
                for (int i = 0; i < 10; i++) {
                    shortenedWaits += readRequest(socket).contains("&wait=2400 ") ? 1 : 0;
                    respond(socket, "200 OK", unchanged);
                    nextNotification();
                }
            }
            readRequest(socket);
            assertTrue((System.nanoTime() - startedNs) / 1e6 >= 20 * 90.0, "calls without a pause");
            assertTrue(shortenedWaits > 0, "the pause shortens the wait, to stay within 6 s");
            respond(socket, "200 OK", listJson(42, false));
            assertEquals("CHANGES 1", nextNotification());
            assertTrue(readRequest(socket).contains("index=42&wait=2500 "), "no pause after a change");
        }
    }
}
