package tulipshed.quic;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.SocketException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import tulipshed.quic.StandIns.Client;
import tulipshed.quic.StandIns.Client.Heard;
import tulipshed.quic.StandIns.Server.Manner;

/** Sockets towards endpoints that this machine cannot open, which says nothing of the endpoints. */
class SocketShortageTest extends QuicFrontendFixture {
    private final AtomicInteger tries = new AtomicInteger();

    /** Opening a socket fails so many times, and then succeeds. */
    private void failToOpen(int times) {
        onLoop(() -> {
            front.context().sockets().setOpener((address, scratch, receiver) -> {
                if (tries.incrementAndGet() <= times) {
                    throw new SocketException("Too many open files");
                }
                return loop.bindUdp(address, scratch, receiver);
            });
            return null;
        });
    }

    @Test
    void momentaryFailureIsRepeatedAtOnceForTheSameAttempt() throws IOException {
        front(Manner.SERVES);
        failToOpen(UpstreamSocketPool.MAX_OPEN_ATTEMPTS - 1);
        try (Client client = new Client(front.address(), 1)) {
            assertEquals("served", open(client).what());
            assertEquals(UpstreamSocketPool.MAX_OPEN_ATTEMPTS, tries.get());
            assertEquals(1L, (long) onLoop(() -> core.metrics().forwardedAttempts()));
        }
    }

    @Test
    void lastingFailureIsBoundedAndHoldsNothingAgainstTheEndpoint() throws IOException {
        int clients = 20;
        front(Manner.SERVES);
        failToOpen(clients * UpstreamSocketPool.MAX_OPEN_ATTEMPTS);
        for (int i = 0; i < clients; i++) {
            try (Client client = new Client(front.address(), 1 + i)) {
                assertEquals(new Heard("closed", InitialFrames.CONNECTION_REFUSED), open(client));
            }
            assertEquals((1 + i) * UpstreamSocketPool.MAX_OPEN_ATTEMPTS, tries.get());
        }
        assertEquals(0, (int) onLoop(core::ineligibleEndpoints));
        assertEquals(0, (int) onLoop(() -> core.metrics().activeRequests()));
        assertEquals(0, (int) onLoop(front.context().sockets()::count));
        try (Client client = new Client(front.address(), 100)) {
            assertEquals("served", open(client).what());
            assertEquals(new Heard("number", 7), number(client, 7));
        }
    }

    /** A path of a connection that stands needs a socket of its own; without one its datagrams are lost, and no others. */
    @Test
    void furtherPathWithoutSocketLosesItsDatagramsOnlyUntilOneCanBeOpened() throws IOException {
        int datagrams = 3;
        numberedFront(1);
        try (Client client = new Client(front.address(), 1);
                Client second = new Client(front.address(), 1)) {
            assertEquals("served", open(client).what());
            assertEquals(new Heard("number", 1), number(client, 1));
            failToOpen(datagrams * UpstreamSocketPool.MAX_OPEN_ATTEMPTS);
            second.server = servers.get(0).conns.get(client.server).ids.next();
            for (int i = 1; i <= datagrams; i++) {
                second.sendNumber(10 + i);
                taken(2 + i);
            }
            assertEquals(datagrams * UpstreamSocketPool.MAX_OPEN_ATTEMPTS, (int) onLoop(tries::get));
            assertEquals(new Heard("number", 2), number(client, 2));
            assertEquals(new Heard("number", 20), number(second, 20), "the first that it hears");
            assertEquals(1, (int) onLoop(() -> core.metrics().activeRequests()));
        }
    }
}
