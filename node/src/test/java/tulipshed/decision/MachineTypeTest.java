package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Estimates of the relative speeds of machine types where observations are missing or uninformative. */
class MachineTypeTest {
    private static final double PRIOR_OBSERVATIONS = 4;

    private final MachineType first = new MachineType();
    private final MachineType second = new MachineType();
    private final List<MachineType> all = List.of(first, second);

    /** All endpoints of such a type are draining, so there is no size to compare the number of its connections with. */
    @Test
    void adoptionsOfTypeWithoutReadyEndpointAreIgnored() {
        first.addReadySize(0, 1);
        first.recordAdoption(all);
        second.recordAdoption(all);
        assertSpeeds(1, 1);
    }

    @Test
    void roundingErrorOfRemovedSizesDoesNotCountAsReadyEndpoint() {
        first.addReadySize(0, 1);
        for (double size : new double[] {0.1, 0.2, -0.1, -0.2}) {
            second.addReadySize(0, size);
        }
        assertTrue(second.readySize(0) != 0, "the sum has a rounding error");
        second.recordAdoption(all);
        assertSpeeds(1, 1);
    }

    @Test
    void setupsBelowClockResolutionAreIgnored() {
        first.recordSetup(0);
        assertSpeeds(1, 1);
        second.recordSetup(1);
        assertSpeeds(1, 1);
    }

    @Test
    void informativeObservationsAreCounted() {
        first.addReadySize(0, 1);
        second.addReadySize(0, 1);
        for (int i = 0; i < 3; i++) {
            first.recordAdoption(all);
        }
        second.recordAdoption(all);
        // The share of the adoptions relative to an even share, weighted by their number against the prior.
        assertSpeeds(Math.pow(1.5, 3 / (3 + PRIOR_OBSERVATIONS)), Math.pow(0.5, 1 / (1 + PRIOR_OBSERVATIONS)));
    }

    private void assertSpeeds(double expectedFirst, double expectedSecond) {
        double highest = MachineType.estimateSpeeds(all, PRIOR_OBSERVATIONS);
        assertEquals(expectedFirst, first.speed, 1e-12);
        assertEquals(expectedSecond, second.speed, 1e-12);
        assertEquals(Math.max(expectedFirst, expectedSecond), highest, 1e-12);
    }
}
