package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Estimates of the relative speeds of machine types where observations are missing or say nothing. */
class MachineTypeTest {
    private static final double PRIOR_OBSERVATIONS = 4;

    private final MachineType first = new MachineType();
    private final MachineType second = new MachineType();
    private final List<MachineType> all = List.of(first, second);

    /** Its connections stand at draining endpoints, so there is no size to compare their number with. */
    @Test
    void adoptionsOfTypeWithoutReadyEndpointSayNothing() {
        first.addReadySize(0, 1);
        first.recordAdoption(all);
        second.recordAdoption(all);
        assertSpeeds(1, 1);
    }

    @Test
    void roundingErrorOfRemovedSizesIsNoReadyEndpoint() {
        first.addReadySize(0, 1);
        for (double size : new double[] {0.1, 0.2, -0.1, -0.2}) {
            second.addReadySize(0, size);
        }
        assertTrue(second.readySize(0) != 0, "leaves a rounding error");
        second.recordAdoption(all);
        assertSpeeds(1, 1);
    }

    @Test
    void setupsTooShortForTheClockSayNothing() {
        first.recordSetup(0);
        assertSpeeds(1, 1);
        second.recordSetup(1);
        assertSpeeds(1, 1);
    }

    @Test
    void observationsThatSaySomethingCountStill() {
        first.addReadySize(0, 1);
        second.addReadySize(0, 1);
        for (int i = 0; i < 3; i++) {
            first.recordAdoption(all);
        }
        second.recordAdoption(all);
        // The adoptions of each type by its share of them, with as many observations as these and the prior.
        assertSpeeds(Math.pow(1.5, 3 / (3 + PRIOR_OBSERVATIONS)), Math.pow(0.5, 1 / (1 + PRIOR_OBSERVATIONS)));
    }

    private void assertSpeeds(double expectedFirst, double expectedSecond) {
        double highest = MachineType.estimateSpeeds(all, PRIOR_OBSERVATIONS);
        assertEquals(expectedFirst, first.speed, 1e-12);
        assertEquals(expectedSecond, second.speed, 1e-12);
        assertEquals(Math.max(expectedFirst, expectedSecond), highest, 1e-12);
    }
}
