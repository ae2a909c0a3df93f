package tulipshed.emulator.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import tulipshed.emulator.model.RandomStreams;
import tulipshed.emulator.scenario.FaultSettings;
import tulipshed.emulator.scenario.Overrides;
import tulipshed.emulator.scenario.Scenario;
import tulipshed.emulator.scenario.ScenarioReader;

class LinkFaultScheduleTest {
    private static Scenario scenario(String troubles) {
        return ScenarioReader.read(
                "t",
                ("(seconds 30)(network (sites 2))(nodes (count 6))(members std (count 10))" + troubles)
                        .getBytes(StandardCharsets.UTF_8),
                new Overrides(Map.of()));
    }

    private static LinkFaultSchedule draw(String troubles, long seed) {
        return LinkFaultGenerator.draw(scenario(troubles), 10, RandomStreams.random(seed, 31, 0));
    }

    @Test
    void aPartitionCutsWhatCrossesItAndNothingElse() {
        LinkFaultSchedule s = draw("(trouble partition (at-s 5)(over-s 4)(count 1))", 1);
        for (int n = 0; n < 6; n++) {
            for (int m = 0; m < 10; m++) {
                assertEquals(
                        n % 2 != m % 2,
                        s.linkToEndpoint(n, m, 5000).holdsOutbound()
                                && s.linkToEndpoint(n, m, 8999).holdsInbound());
                assertEquals(LinkState.HEALTHY, s.linkToEndpoint(n, m, 4999));
                assertEquals(LinkState.HEALTHY, s.linkToEndpoint(n, m, 9000));
            }
            // Discovery stands at the first site.
            assertEquals(n % 2 == 1 ? 9000 : 6000, s.receivableAtMs(n, 6000));
        }
    }

    @Test
    void oneWayCutsHoldOneWay() {
        LinkState out = draw("(trouble cut-links (at-s 1)(over-s 1)(share 1)(count 1))", 1)
                .linkToEndpoint(0, 0, 1500);
        assertTrue(out.holdsOutbound() && !out.holdsInbound() && !out.blackhole());
        LinkState back = draw("(trouble cut-links (at-s 1)(over-s 1)(share 1)(count 2))", 1)
                .linkToEndpoint(0, 0, 1500);
        assertTrue(!back.holdsOutbound() && back.holdsInbound() && !back.blackhole());
    }

    @Test
    void theSeedDrawsWhoIsStruckAndNothingElseDoes() {
        String half =
                "(trouble cut-links (at-s 1)(over-s 1)(share 0.5))(trouble stop-nodes (at-s 3)(over-s 2)(share 0.5))";
        assertEquals(draw(half, 7).faults(), draw(half, 7).faults());
        assertFalse(draw(half, 7).faults().equals(draw(half, 8).faults()));
        // Links are drawn one by one, so nodes have different members out.
        LinkFaultSchedule s = draw(half, 7);
        assertTrue(s.faults().stream()
                        .filter(f -> f.kind().equals("cut-links"))
                        .map(Fault::endpoints)
                        .distinct()
                        .count()
                > 1);
        assertEquals(List.of(1000.0, 2000.0, 3000.0, 5000.0), s.changesMs());
    }

    @Test
    void aNodeThatStandsStillHearsWhenItGoesOnAndFaultsThatOverlapCountTogether() {
        LinkFaultSchedule s = draw(
                "(trouble stop-nodes (at-s 2)(over-s 3)(share 1))(trouble mute-discovery (at-s 4)(over-s 4)(share 1))"
                        + "(trouble slow-links (at-s 4)(over-s 2)(share 1)(factor 30))(trouble silence-members (at-s 5)(over-s 2)(share 1))",
                3);
        assertEquals(8000, s.receivableAtMs(0, 2500));
        assertEquals(1999, s.receivableAtMs(0, 1999));
        assertTrue(s.isSuspended(0, 4999) && !s.isSuspended(0, 5000));
        assertEquals(new LinkState(true, true, true, 30, 30), s.linkToEndpoint(3, 3, 5500));
    }

    @Test
    void theWorldGetsTheOtherTroublesOnly() {
        Scenario s = scenario(
                "(trouble partition (at-s 5)(over-s 4))(trouble kill-nodes (at-s 3)(count 1))(trouble cut-links (at-s 1))");
        assertEquals(
                List.of("kill-nodes"),
                LinkFaultSchedule.withoutLinkFaults(s).faults().stream()
                        .map(FaultSettings::kind)
                        .toList());
        LinkFaultSchedule all = LinkFaultGenerator.draw(s, 10, RandomStreams.random(1, 31, 0));
        assertEquals(1000, all.firstMs());
        assertEquals(9000, all.lastMs(), "also of what the world makes, as all count for being whole again");
    }
}
