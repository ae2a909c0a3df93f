package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.SocketTimeoutException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tulipshed.limits.Limits;

/** Requests with the ID of a request that has ended. */
@SuppressWarnings("try") // a socket is closed at a point that the test needs
class RepeatedIdTest extends LineProtocolFixture {
    private void startWithEffect(String effect) throws Exception {
        stop();
        start(Limits.forDescriptors(1024), "\"repeatable\"", "\"" + effect + "\"");
    }

    /** Guards against a request that is executed a second time after its client has left. */
    @ParameterizedTest
    @ValueSource(strings = {"once", "by_key"})
    void requestThatMayHaveExecutedIsNotForwardedAgainAfterItsClientHasLeft(String effect) throws Exception {
        startWithEffect(effect);
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            try (LineSocket endpoint = acceptUpstream()) {
                assertTrue(endpoint.readLine().startsWith("OPEN"));
                client.close();
                assertNull(endpoint.readLine(), "the attempt is given up");
            }
        }
        assertRepetitionFails();
    }

    @Test
    void requestThatWasServedIsNotForwardedAgain() throws Exception {
        startWithEffect("once");
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            try (LineSocket endpoint = acceptUpstream()) {
                endpoint.send("UP r1\r\nBYE\r\n");
            }
            assertEquals("UP r1", client.readLine());
            assertEquals("BYE", client.readLine());
            assertNull(client.readLine());
        }
        assertRepetitionFails();
    }

    private void assertRepetitionFails() throws Exception {
        try (LineSocket repetition = connectClient()) {
            repetition.send(OPEN_COMMAND);
            assertEquals("ERR", repetition.readLine());
        }
        endpointListener.setSoTimeout(1);
        assertThrows(SocketTimeoutException.class, endpointListener::accept, "not forwarded");
    }

    /** A rejection promises that the client may come again. */
    @Test
    void requestThatNeverExecutedMayComeAgain() throws Exception {
        startWithEffect("once");
        endpointListener.close();
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND.replace("d=4000", "d=300"));
            assertTrue(client.readLine().startsWith("BUSY"));
        }
        addSecondEndpoint();
        try (LineSocket client = connectClient()) {
            client.send(OPEN_COMMAND);
            try (LineSocket endpoint = new LineSocket(secondEndpointListener.accept())) {
                assertTrue(endpoint.readLine().startsWith("OPEN"), "forwarded");
            }
        }
    }
}
