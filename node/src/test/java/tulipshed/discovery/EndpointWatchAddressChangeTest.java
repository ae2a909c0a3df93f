package tulipshed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Change of the address of discovery by a reload. */
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class EndpointWatchAddressChangeTest extends EndpointWatchFixture {
    /** Guards against a reload that keeps using lists of the old address, or requests only changes from the new one. */
    @Test
    void requestsFullListFromNewAddressAndIgnoresOldOne() throws Exception {
        try (ServerSocket newAddress = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                Socket old = discovery.accept()) {
            newAddress.setSoTimeout(5000);
            readRequest(old);
            InetSocketAddress target = (InetSocketAddress) newAddress.getLocalSocketAddress();
            loop.execute(() -> watch.setDiscoveryAddress(target));
            loop.execute(() -> watch.setDiscoveryAddress(target));
            try (Socket current = newAddress.accept()) {
                assertEquals("GET /discovery/hosts HTTP/1.1", readRequest(current));
                respond(old, "200 OK", listJson(99, true));
                assertEquals(-1, old.getInputStream().read(), "the old call is abandoned");
                respond(current, "200 OK", listJson(7, true));
                assertEquals("COMPLETE 1", nextNotification());
                assertTrue(readRequest(current).contains("index=7&"), "one call, with the version of the new address");
                assertTrue(
                        notifications.isEmpty(), "neither the response of the old address nor a failure is reported");
            }
        }
    }

    @Test
    void callsNewAddressWithoutRequestAfterFailureOfOldOne() throws Exception {
        try (Socket old = discovery.accept();
                ServerSocket newAddress = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            readRequest(old);
            respond(old, "503 Service Unavailable", "");
            assertEquals("FAILED 0", nextNotification());
            newAddress.setSoTimeout(5000);
            loop.execute(() -> watch.setDiscoveryAddress((InetSocketAddress) newAddress.getLocalSocketAddress()));
            try (Socket current = newAddress.accept()) {
                assertEquals("GET /discovery/hosts HTTP/1.1", readRequest(current));
                respond(current, "503 Service Unavailable", "");
                assertEquals("FAILED 0", nextNotification());
            }
            loop.execute(watch::watch);
            try (Socket current = newAddress.accept()) {
                assertEquals("GET /discovery/hosts HTTP/1.1", readRequest(current), "still the full list");
            }
        }
    }

    /** As if SIGHUP with a new address follows SIGTERM. */
    @Test
    void makesNoCallWhenAddressChangesAfterStop() throws Exception {
        try (Socket socket = acceptConnection();
                ServerSocket newAddress = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            readRequest(socket);
            loop.execute(watch::stop);
            loop.execute(() -> watch.setDiscoveryAddress((InetSocketAddress) newAddress.getLocalSocketAddress()));
            loop.execute(() -> notifications.add("open " + watch.isConnected()));
            assertEquals("open false", nextNotification());
        }
    }

    /** The response to the old call arrives in the same iteration of the event loop as the address change. */
    @Test
    void ignoresOldResponseReceivedDuringAddressChange() throws Exception {
        try (Socket old = acceptConnection();
                ServerSocket newAddress = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            newAddress.setSoTimeout(5000);
            readRequest(old);
            CountDownLatch loopBlocked = new CountDownLatch(1);
            CountDownLatch responseWritten = new CountDownLatch(1);
            loop.execute(() -> {
                loopBlocked.countDown();
                try {
                    assertTrue(responseWritten.await(5, TimeUnit.SECONDS));
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                watch.setDiscoveryAddress((InetSocketAddress) newAddress.getLocalSocketAddress());
            });
            assertTrue(loopBlocked.await(5, TimeUnit.SECONDS));
            respond(old, "200 OK", listJson(99, true));
            responseWritten.countDown();
            try (Socket current = newAddress.accept()) {
                assertEquals("GET /discovery/hosts HTTP/1.1", readRequest(current));
                assertTrue(notifications.isEmpty());
            }
        }
    }
}
