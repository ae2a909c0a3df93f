package tulipshed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import tulipshed.config.JsonValues;
import tulipshed.config.MalformedInputException;
import tulipshed.decision.BalancerApi.EndpointStatus;
import tulipshed.testing.InputFuzzer;

class DiscoveryParserTest {
    private static final String LIST = "{\"version\":43,\"full\":false,\"servers\":[{\"id\":\"s-5b\",\"addr\":"
            + "\"10.1.0.18:8080\",\"zone\":\"a\",\"kind\":\"m2\",\"cell\":3,\"state\":\"DRAINING\",\"weight\":1.0,"
            + "\"started_ms\":5}]}";

    private static byte[] answer(boolean chunked) {
        String body = chunked
                ? "5\r\n" + LIST.substring(0, 5) + "\r\n" + Integer.toHexString(LIST.length() - 5) + ";x\r\n"
                        + LIST.substring(5) + "\r\n0\r\n\r\n"
                : LIST;
        String length = chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + LIST.length();
        return ("HTTP/1.1 200 OK\r\n" + length + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1);
    }

    @Property(tries = 300, seed = "21")
    void cutsDoNotChangeAnAnswer(@ForAll boolean chunked, @ForAll long seed) {
        HttpResponseParser answer = new HttpResponseParser(200, 1000);
        InputFuzzer.feedInFragments(answer(chunked), seed, answer::take);
        assertTrue(answer.take(java.nio.ByteBuffer.allocate(0)));
        assertEquals(200, answer.status());
        assertEquals(LIST, new String(answer.body(), StandardCharsets.ISO_8859_1));
        EndpointListUpdate list = EndpointListUpdate.read(JsonValues.object(answer.body()));
        assertEquals(43, list.version());
        assertEquals(EndpointStatus.DRAINING, list.entries().get(0).info().status());
        assertEquals(5_000, list.entries().get(0).info().startedUs());
    }

    @Property(tries = 500, seed = "22")
    void aSpoiltAnswerIsReadOrCalledBadAndNothingElse(@ForAll boolean chunked, @ForAll long seed) {
        HttpResponseParser answer = new HttpResponseParser(200, 1000);
        try {
            InputFuzzer.feedInFragments(InputFuzzer.corrupt(answer(chunked), seed), seed, answer::take);
            if (answer.end()) {
                EndpointListUpdate.read(JsonValues.object(answer.body()));
            }
        } catch (HttpResponseParser.MalformedResponseException | MalformedInputException expected) {
            assertFalse(expected.getMessage().isEmpty());
        }
    }

    @Property(tries = 300, seed = "23")
    void garbageStaysBounded(@ForAll @Size(max = 600) byte[] garbage, @ForAll long seed) {
        HttpResponseParser answer = new HttpResponseParser(50, 100);
        try {
            InputFuzzer.feedInFragments(garbage, seed, answer::take);
        } catch (HttpResponseParser.MalformedResponseException expected) {
            assertFalse(expected.getMessage().isEmpty());
        }
        assertTrue(answer.body().length <= 100);
    }

    @Test
    void anEntryWithoutItsIdIsRefused() {
        byte[] json = LIST.replace("\"id\":\"s-5b\",", "").getBytes(StandardCharsets.ISO_8859_1);
        assertThrows(MalformedInputException.class, () -> EndpointListUpdate.read(JsonValues.object(json)));
    }
}
