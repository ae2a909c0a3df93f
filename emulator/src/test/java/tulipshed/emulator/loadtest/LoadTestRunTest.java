package tulipshed.emulator.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.emulator.policy.EndpointListing;
import tulipshed.proxy.EndpointListEntry;

/** What discovery is given of the emulated members. */
class LoadTestRunTest {
    private static long startedEpochMs(long startedUs, double clockOffMs) {
        EndpointInfo info = new EndpointInfo("m", EndpointStatus.SERVING, "s0", 0, "std", 1, startedUs);
        EndpointListing news =
                new EndpointListing(0, new EndpointListEntry(info, new InetSocketAddress(1)), clockOffMs);
        return LoadTestRun.startedEpochMs(news, 1_000_000, 5000);
    }

    @Test
    void aMemberTellsItsStartByItsOwnClock() {
        assertEquals(998_000, startedEpochMs(3_000_000, 0));
        assertEquals(998_000 + 3_600_000, startedEpochMs(3_000_000, 3_600_000));
        assertEquals(995_000, startedEpochMs(3_000_000, -3000));
        assertEquals(0, startedEpochMs(0, 3000), "one that does not say when it started");
    }
}
