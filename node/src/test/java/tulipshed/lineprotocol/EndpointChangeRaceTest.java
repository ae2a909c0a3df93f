package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.decision.api.Outcome;

/** An endpoint that changes state just as a connection to it is made, used or migrated away from. */
class EndpointChangeRaceTest extends RaceConditionFixture {
    @Test
    void sendsNothingToEndpointThatStartsDrainingWhileConnecting() throws Exception {
        beforeRequestArrived = () -> loop.execute(() -> {
            holdLoop();
            listFirstEndpoint(EndpointStatus.DRAINING);
        });
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            await(loopHeld);
            try (LineSocket endpoint = acceptUpstream()) {
                otherEventHappened.countDown();
                assertNull(endpoint.readLine(), "the endpoint receives nothing");
            }
            assertEquals(Outcome.CONNECT_FAILED, outcomes.poll(5, TimeUnit.SECONDS));
        }
    }

    /** A truncated line does not count as a response. */
    @ParameterizedTest
    @ValueSource(strings = {"U", "UP", "UP r1", "UP r1\r"})
    void treatsTruncatedResponseAsReset(String truncated) throws Exception {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND.replace("d=4000", "d=300"));
            try (LineSocket endpoint = acceptUpstream()) {
                endpoint.readLine();
                endpoint.send(truncated);
                endpoint.socket.shutdownOutput();
                assertEquals(Outcome.RESET, outcomes.poll(5, TimeUnit.SECONDS));
            }
            assertTrue(client.readLine().startsWith("BUSY"), "nothing of the response reaches the client");
        }
    }

    @Test
    void ignoresSecondResponseAfterRejection() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND.replace("d=4000", "d=300"));
            try (LineSocket endpoint = acceptUpstream()) {
                endpoint.readLine();
                endpoint.send("BUSY\r\nUP r1\r\n");
                assertEquals(Outcome.FULL, outcomes.poll(5, TimeUnit.SECONDS));
            }
            assertTrue(client.readLine().matches("BUSY [0-9]+"));
            assertNull(client.readLine());
        }
    }

    /** The decoder holds a partial line of the endpoint when the client is migrated; MOVE must not follow a partial line. */
    @Test
    void dropsPartialEndpointLineWhenClientIsMigrated() throws Exception {
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            try (LineSocket endpoint = acceptUpstream()) {
                endpoint.readLine();
                endpoint.send("UP r1\r\n");
                assertEquals("UP r1", client.readLine());
                holdLoopThenRun(() -> core.migrateOldest());
                endpoint.send("M 1 who");
                releaseLoopAndAwaitTask();
                assertEquals("MOVE", client.readLine());
                assertNull(client.readLine());
            }
        }
    }
}
