package tulipshed.emulator.loadtest;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import tulipshed.emulator.scenario.Overrides;
import tulipshed.emulator.scenario.Scenario;
import tulipshed.emulator.scenario.ScenarioReader;

/** A run that the machine's limit of descriptors would end half way is refused before it starts. */
class DescriptorsTest {
    private static final int ENDPOINTS = 3200;
    private static final int NEEDED = ENDPOINTS + 2 * 1000 + 500;

    @Test
    void listenersAndBothEndsOfConnectionsHaveToFit() {
        Scenario scenario = ScenarioReader.read(
                "descriptors",
                "(seconds 60)(members std (count 3200))(class c (life-s 50))(clients (per-second 20)(standing 900))"
                        .getBytes(StandardCharsets.UTF_8),
                Overrides.NONE);
        assertDoesNotThrow(() -> Descriptors.require(scenario, ENDPOINTS, NEEDED));
        assertThrows(IllegalArgumentException.class, () -> Descriptors.require(scenario, ENDPOINTS, NEEDED - 1));
    }
}
