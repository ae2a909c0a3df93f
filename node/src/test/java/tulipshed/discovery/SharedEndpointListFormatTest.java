package tulipshed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.config.MalformedInputException;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.time.WallTime;

/** The JSON form of the list that two processes of a node share. */
class SharedEndpointListFormatTest {
    private static final SharedEndpointList SHARED = new SharedEndpointList(
            "[0:0:0:0:0:0:0:1]:8500",
            true,
            new EndpointListUpdate(
                    45,
                    true,
                    List.of(
                            endpoint("s-\"1", EndpointStatus.DRAINING, "::1"),
                            endpoint("s-2", EndpointStatus.SERVING, "127.0.0.1"))));

    private static ListedEndpoint endpoint(String id, EndpointStatus status, String host) {
        WallTime started = new WallTime(1_790_000_000_123L);
        return new ListedEndpoint(id, status, "zone", 3, "std-2c", 0.5, started, new InetSocketAddress(host, 8080));
    }

    @Test
    void readsWhatItWrites() {
        assertEquals(SHARED, SharedEndpointListFormat.read(SharedEndpointListFormat.write(SHARED)));
    }

    @Test
    void refusesEveryTruncatedList() {
        byte[] document = SharedEndpointListFormat.write(SHARED);
        for (int length = 0; length < document.length; length++) {
            byte[] truncated = Arrays.copyOf(document, length);
            assertThrows(MalformedInputException.class, () -> SharedEndpointListFormat.read(truncated));
        }
    }

    @Test
    void refusesChangesInPlaceOfFullList() {
        String changes = new String(SharedEndpointListFormat.write(SHARED), StandardCharsets.UTF_8)
                .replace("\"full\":true", "\"full\":false");
        assertTrue(changes.contains("\"full\":false"));
        assertThrows(
                MalformedInputException.class,
                () -> SharedEndpointListFormat.read(changes.getBytes(StandardCharsets.UTF_8)));
    }
}
