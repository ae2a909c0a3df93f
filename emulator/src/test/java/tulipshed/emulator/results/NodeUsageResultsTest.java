package tulipshed.emulator.results;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tulipshed.emulator.loadtest.NodeUsage;

/** What nodes used is kept in a table of its own, a row for each node. */
class NodeUsageResultsTest {
    @TempDir
    Path folder;

    @Test
    void eachNodeIsARow() {
        try (Results results = new Results(folder)) {
            results.writeNodes(
                    "key",
                    List.of(
                            new NodeUsage(0, 1.5, 80.25, 300, 900, 12_345_678_901L, 1000, 990),
                            new NodeUsage(1, 2.5, 81, 301, 901, 5, 0, 0)));
            List<Map<String, Object>> rows = results.query("SELECT * FROM " + results.from("nodes") + " ORDER BY node");
            assertEquals(2, rows.size());
            assertEquals(
                    "{run_key=key, node=0, cpu_s=1.5, peak_memory_mib=80.25, peak_descriptors=300, "
                            + "endpoint_connections=900, list_bytes=12345678901, requests=1000, served=990}",
                    rows.get(0).toString());
        }
    }

    @Test
    void withoutRequestsNothingWasLeftUnserved() {
        NodeUsage idle = new NodeUsage(0, 1, 1, 1, 0, 0, 0, 0);
        NodeUsage busy = new NodeUsage(1, 3, 1, 1, 0, 0, 4, 1);
        assertEquals(1, idle.servedShare());
        assertEquals(0.25, busy.servedShare());
        assertEquals(2, NodeUsage.mean(List.of(idle, busy), NodeUsage::cpuSeconds));
    }
}
