package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.decision.Setup.SECOND;
import static tulipshed.decision.Setup.end;
import static tulipshed.decision.Setup.name;
import static tulipshed.decision.Setup.request;

import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.decision.BalancerApi.EndpointListKind;
import tulipshed.decision.BalancerApi.EndpointStatus;
import tulipshed.decision.BalancerApi.NewRequest;
import tulipshed.decision.BalancerApi.Outcome;

/** What members drop comes again: refused by chance where a node's counts tell it nothing else. */
class ShedsTest {
    private static final int ASKED = 200;
    private final Recorder recorder = new Recorder();
    private final Setup setup = new Setup();

    /** One of very many nodes: thirty members, three connections. */
    private Balancer holding(int connections) {
        Balancer b = setup.balancer(recorder, 1);
        setup.list(b, 0, 30);
        for (int i = 0; i < connections; i++) {
            b.connectionAdopted(0, request(1000 + i), name(i % 30));
        }
        return b;
    }

    /** How many of 200 that end again at once are refused. */
    private int refused(Balancer b, long now, boolean returning) {
        recorder.take();
        int refused = 0;
        for (long id = 1; id <= ASKED; id++) {
            b.requestArrived(now, new NewRequest(id, 0, 0, "k" + id, null, 2 * SECOND, 0, false, false, returning));
            List<String> said = recorder.take();
            refused += said.get(0).startsWith("refuse") ? 1 : 0;
            if (said.get(0).startsWith("send")) {
                b.attemptEstablished(now, id, 0, 1000);
                end(b, now, id, 0, true, Outcome.OK);
            }
        }
        return refused;
    }

    @Test
    void afterADropThoseThatComeAgainAreMostlyRefusedNewOnesNotAndItPasses() {
        Balancer b = holding(3);
        assertEquals(0, refused(b, 1, true), "nothing dropped yet");
        end(b, SECOND, 1000, 0, true, Outcome.RESET);
        int many = refused(b, SECOND, true);
        assertTrue(many > ASKED * 0.8 && many < ASKED * 0.97, "right after: " + many);
        assertEquals(0, refused(b, SECOND, false), "new clients");
        int few = refused(b, 46 * SECOND, true);
        assertTrue(few > 0 && few < ASKED * 0.25, "45 s later: " + few);
        assertEquals(0, refused(b, 180 * SECOND, true), "three minutes later");
    }

    @Test
    void oneWhoseCountsTellOfItsMembersRefusesNobodyForIt() {
        Balancer b = holding(60);
        for (int i = 0; i < 10; i++) {
            end(b, SECOND, 1000 + 3 * i, 0, true, Outcome.RESET);
        }
        assertEquals(0, refused(b, SECOND, true));
    }

    @Test
    void whatADrainedMemberCutsOffAtItsEndIsNoNewsOfCrowding() {
        Balancer b = holding(3);
        b.endpointsChanged(SECOND, EndpointListKind.CHANGES, List.of(setup.server(0, EndpointStatus.DRAINING, 0)));
        end(b, 2 * SECOND, 1000, 0, true, Outcome.RESET);
        assertEquals(0, refused(b, 2 * SECOND, true));
    }
}
