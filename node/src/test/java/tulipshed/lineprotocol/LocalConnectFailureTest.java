package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.decision.api.Outcome;
import tulipshed.limits.Limits;
import tulipshed.limits.LineProtocolLimits;
import tulipshed.transport.ConnectFailures;

/** Connections that this machine cannot begin to make, which must not count against the endpoint. */
class LocalConnectFailureTest extends RaceConditionFixture {
    @Test
    void dialsAgainForTheSameAttempt() throws Exception {
        runOnLoop(() -> listFirstEndpointAt(UNREACHABLE));
        // Runs between the first failure and the next dial.
        beforeRequestArrived = () -> loop.execute(this::listFirstEndpointAtListener);
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            try (LineSocket endpoint = acceptUpstream()) {
                endpoint.send("UP r1\r\n");
                assertEquals("UP r1", client.readLine());
                assertTrue(outcomes.isEmpty(), outcomes.toString());
            }
        }
    }

    @Test
    void rejectsAfterLastRedialAndKeepsEndpointEligible() throws Exception {
        runOnLoop(() -> listFirstEndpointAt(UNREACHABLE));
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            assertTrue(client.readLine().matches("BUSY [0-9]+"));
        }
        assertEquals(Outcome.UNUSED, outcomes.poll(5, TimeUnit.SECONDS));
        assertTrue(outcomes.isEmpty(), "one attempt only");
        assertEquals(0, onLoop(core::ineligibleEndpoints));
    }

    @Test
    void doesNotDialAgainForDisconnectedClient() throws Exception {
        runOnLoop(() -> listFirstEndpointAt(UNREACHABLE));
        beforeRequestArrived = () -> loop.execute(() -> {
            listFirstEndpointAtListener();
            holdLoop();
        });
        LineSocket client = connectClient();
        client.send(OPEN_COMMAND);
        await(loopHeld);
        client.close();
        otherEventHappened.countDown();
        assertEquals(Outcome.CANCELLED, outcomes.poll(5, TimeUnit.SECONDS));
        assertNothingForwardedBeforeNextClient();
    }

    @Test
    void boundsDialsInNumberAndTime() {
        LineProtocolLimits limits = Limits.forDescriptors(1024).lineProtocol();
        RedialBackoff backoff = new RedialBackoff(limits);
        for (double delayMs : List.of(0.0, 2.0, 4.0, 8.0, 16.0)) {
            assertEquals(OptionalDouble.of(delayMs), backoff.takeNextDelayMs(1_000));
        }
        assertEquals(OptionalDouble.empty(), backoff.takeNextDelayMs(1_000));
        RedialBackoff late = new RedialBackoff(limits);
        assertEquals(OptionalDouble.of(0), late.takeNextDelayMs(2));
        assertEquals(OptionalDouble.empty(), late.takeNextDelayMs(2), "no time is left for a redial");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Too many open files",
                "Too many open files in system",
                "No buffer space available",
                "Cannot allocate memory",
                "Cannot assign requested address",
                "Network is unreachable"
            })
    void distinguishesLocalFailuresFromRemoteOnes(String reason) {
        assertTrue(ConnectFailures.isLocal(new IOException(reason)));
        assertFalse(ConnectFailures.isLocal(new IOException()));
        for (String remote : List.of("Connection refused", "No route to host", "Connection timed out")) {
            assertFalse(ConnectFailures.isLocal(new IOException(remote)));
        }
    }

    private void listFirstEndpointAtListener() {
        listFirstEndpointAt((InetSocketAddress) endpointListener.getLocalSocketAddress());
    }
}
