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

/** The watch when the address of discovery changes by a reload. */
@SuppressWarnings("try") // some sockets are only held open, or closed at a point that the test needs
class EndpointWatchAddressChangeTest extends EndpointWatchFixture {
    /** Without this a reload would go on with lists of the old address, or request only changes from the new one. */
    @Test
    void requestsFullListFromNewAddressAndIgnoresOldOne() throws Exception {
        try (ServerSocket newAddress = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                Socket old = discovery.accept()) {
            newAddress.setSoTimeout(5000);
            readRequest(old);
            InetSocketAddress to = (InetSocketAddress) newAddress.getLocalSocketAddress();
            loop.execute(() -> watch.setDiscoveryAddress(to));
            loop.execute(() -> watch.setDiscoveryAddress(to));
            try (Socket current = newAddress.accept()) {
                assertEquals("GET /discovery/hosts HTTP/1.1", readRequest(current));
                respond(old, "200 OK", listJson(99, true));
                assertEquals(-1, old.getInputStream().read(), "the old call is abandoned");
                respond(current, "200 OK", listJson(7, true));
                assertEquals("COMPLETE 1", nextNotification());
                assertTrue(readRequest(current).contains("index=7&"), "one call, with the version of the new address");
                assertTrue(
                        notifications.isEmpty(), "neither the response of the old address nor a failure is notified");
            }
        }
    }

    @Test
    void callsNewAddressUnpromptedAfterFailureOfOldOne() throws Exception {
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

    /** As when SIGHUP with another address follows SIGTERM. */
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

    /** The response to the old call arrives in the same iteration of the loop as the change. */
    @Test
    void ignoresOldResponseReceivedDuringAddressChange() throws Exception {
        try (Socket old = acceptConnection();
                ServerSocket newAddress = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            newAddress.setSoTimeout(5000);
            readRequest(old);
            CountDownLatch held = new CountDownLatch(1);
            CountDownLatch written = new CountDownLatch(1);
            loop.execute(() -> {
                held.countDown();
                try {
                    assertTrue(written.await(5, TimeUnit.SECONDS));
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
                watch.setDiscoveryAddress((InetSocketAddress) newAddress.getLocalSocketAddress());
            });
            assertTrue(held.await(5, TimeUnit.SECONDS));
            respond(old, "200 OK", listJson(99, true));
            written.countDown();
            try (Socket current = newAddress.accept()) {
                assertEquals("GET /discovery/hosts HTTP/1.1", readRequest(current));
                assertTrue(notifications.isEmpty());
            }
        }
    }
}
