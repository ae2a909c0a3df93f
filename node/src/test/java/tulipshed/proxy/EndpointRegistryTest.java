package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.EndpointStatus;

/** The registry of endpoints and its updates from endpoint lists. */
class EndpointRegistryTest {
    private final EndpointRegistry endpoints = new EndpointRegistry();

    private static EndpointListEntry serving(String id) {
        return new EndpointListEntry(new EndpointInfo(id, EndpointStatus.SERVING, "decin", 0, "std-2c", 1, 0), null);
    }

    @Test
    void countsListedEndpointsAlsoWhileTheyDrain() {
        ProxyCoreFixture fixture = new ProxyCoreFixture();
        fixture.updateEndpoint("s-2", EndpointStatus.DRAINING);
        assertEquals(2, fixture.core.listedEndpoints());
        fixture.updateEndpoint("s-2", EndpointStatus.REMOVED);
        assertEquals(1, fixture.core.listedEndpoints());
    }

    @Test
    void completeListRemovesEndpointsItDoesNotName() {
        endpoints.update(EndpointListKind.COMPLETE, List.of(serving("s-1"), serving("s-2")));
        endpoints.update(EndpointListKind.COMPLETE, List.of(serving("s-2")));
        assertFalse(endpoints.find("s-1").isListed());
        assertEquals(1, endpoints.servingCount());
    }

    @Test
    void cachedListDoesNotCountAsReceived() {
        endpoints.update(EndpointListKind.CACHED, List.of(serving("s-1")));
        assertFalse(endpoints.isListReceived());
        endpoints.update(EndpointListKind.CHANGES, List.of());
        assertTrue(endpoints.isListReceived());
    }

    @Test
    void endpointWithoutAddressIsNotAvailable() {
        endpoints.update(EndpointListKind.COMPLETE, List.of(serving("s-1")));
        assertTrue(endpoints.find("s-1").isServing());
        assertFalse(endpoints.isAvailable("s-1"));
        assertFalse(endpoints.isAvailable("s-9"));
    }

    /** Each release gives all endpoints new ids, and a process may run for many releases. */
    @Test
    void retainsBoundedNumberOfRemovedEndpoints() {
        int endpointsPerRelease = 100;
        for (int release = 0; release < 50; release++) {
            endpoints.update(EndpointListKind.COMPLETE, release(release, endpointsPerRelease));
        }
        assertEquals(endpointsPerRelease, endpoints.listedCount());
        assertTrue(endpoints.retainedCount() <= 2 * endpointsPerRelease, "retained " + endpoints.retainedCount());
        assertTrue(endpoints.find("s-49-0").isListed());
        assertFalse(endpoints.isAvailable("s-0-0"));
    }

    private static List<EndpointListEntry> release(int number, int size) {
        return IntStream.range(0, size)
                .mapToObj(index -> serving("s-" + number + "-" + index))
                .toList();
    }
}
