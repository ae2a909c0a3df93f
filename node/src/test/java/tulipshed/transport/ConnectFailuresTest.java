package tulipshed.transport;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.IoUtils;
import tulipshed.limits.Limits;
import tulipshed.testing.LoopbackSockets;

/** Tests of the classification by the exception types and texts that Java uses for each error number. */
class ConnectFailuresTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Too many open files",
                "Too many open files in system",
                "No buffer space available",
                "Cannot allocate memory",
                "Network is unreachable"
            })
    void shortageOfThisMachineIsLocal(String reason) {
        assertTrue(ConnectFailures.isLocal(new SocketException(reason)));
    }

    @Test
    void missingLocalAddressIsLocal() {
        assertTrue(ConnectFailures.isLocal(new BindException("Cannot assign requested address")));
    }

    @Test
    void failureOfRemoteEndIsNotLocal() {
        assertFalse(ConnectFailures.isLocal(new ConnectException("Connection refused")));
        assertFalse(ConnectFailures.isLocal(new ConnectException("Connection timed out")));
        assertFalse(ConnectFailures.isLocal(new NoRouteToHostException("No route to host")));
        assertFalse(ConnectFailures.isLocal(new SocketException("Connection reset")));
        assertFalse(ConnectFailures.isLocal(new SocketException()));
        assertFalse(ConnectFailures.isLocal(new IOException("connection attempt cancelled")));
    }

    private static IOException failureOf(InetSocketAddress address) throws Exception {
        XnioEventLoop loop = new XnioEventLoop(Limits.forDescriptors(64));
        try {
            CompletableFuture<IOException> failure = new CompletableFuture<>();
            loop.execute(() -> loop.connect(address, IoUtils::safeClose, failure::complete));
            return failure.get(10, TimeUnit.SECONDS);
        } finally {
            loop.stop();
        }
    }

    /** The kernel refuses to connect to a multicast address with ENETUNREACH before it sends anything. */
    @Test
    void classifiesRealFailures() throws Exception {
        IOException unreachable = failureOf(new InetSocketAddress("224.0.0.1", 80));
        assertTrue(ConnectFailures.isLocal(unreachable), unreachable::toString);
        try (Socket closed = LoopbackSockets.reserveClosedPort()) {
            IOException refused = failureOf((InetSocketAddress) closed.getLocalSocketAddress());
            assertFalse(ConnectFailures.isLocal(refused), refused::toString);
        }
    }
}
