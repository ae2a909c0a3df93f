package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.Outcome;

/** Resumption of connections that were established before this node started. */
class ConnectionAdopterTest {
    private final ProxyCoreFixture fixture = new ProxyCoreFixture();

    @Test
    void adoptsConnectionOfDrainingEndpoint() {
        fixture.updateEndpoint("s-1", EndpointStatus.DRAINING);
        fixture.takeRecorded();
        fixture.adoptConnection("s-1");
        assertEquals(List.of("adopted s-1", "open s-1"), fixture.takeRecorded());
        Attempt attempt = fixture.attempts.get(0);
        assertTrue(fixture.core.mayForward(attempt));
        fixture.advance(5000);
        assertTrue(fixture.core.attemptEstablished(attempt));
        fixture.core.attemptEnded(attempt, Outcome.OK);
        assertEquals(List.of("ended 0 OK concluded"), fixture.takeRecorded());
    }

    /** The cached list can be older than the connection and lack its endpoint. */
    @Test
    void adoptionWaitsForUnlistedEndpoint() {
        Request request = fixture.adoptConnection("s-9");
        fixture.advance(3000);
        assertEquals(List.of(), fixture.takeRecorded());
        fixture.updateEndpoint("s-9", EndpointStatus.SERVING);
        fixture.advance(150);
        assertEquals(List.of("endpoints CHANGES", "adopted s-9", "open s-9"), fixture.takeRecorded());
        assertTrue(request.isPending());
        // Discovery has delivered a list by now: an unlisted endpoint is awaited for a shorter time.
        fixture.adoptConnection("s-10");
        fixture.advance(900);
        assertEquals(List.of(), fixture.takeRecorded());
        fixture.advance(201);
        assertEquals(List.of("client: fail"), fixture.takeRecorded());
    }

    @Test
    void adoptionFailsAfterTimeoutWithoutEndpointList() {
        fixture.adoptConnection("s-10");
        fixture.advance(39_900);
        assertEquals(List.of(), fixture.takeRecorded());
        fixture.advance(201);
        assertEquals(List.of("client: fail"), fixture.takeRecorded());
    }

    /** Guards against an exit of the process without a final response to a request whose endpoint is still awaited. */
    @Test
    void shutdownFailsAdoptionThatWaitsForItsEndpoint() {
        Request waiting = fixture.adoptConnection("s-9");
        fixture.core.rejectAllPending();
        assertEquals(List.of("client: fail"), fixture.takeRecorded());
        assertFalse(waiting.isPending());
        fixture.updateEndpoint("s-9", EndpointStatus.SERVING);
        fixture.advance(150);
        assertEquals(
                List.of("endpoints CHANGES"), fixture.takeRecorded(), "no attempt is opened for the failed request");
    }

    @Test
    void adoptionFailsWhenEndpointResetsAttempt() {
        fixture.adoptConnection("s-1");
        fixture.takeRecorded();
        fixture.core.attemptEnded(fixture.attempts.get(0), Outcome.RESET);
        assertEquals(List.of("client: fail", "ended 0 RESET concluded"), fixture.takeRecorded());
    }
}
