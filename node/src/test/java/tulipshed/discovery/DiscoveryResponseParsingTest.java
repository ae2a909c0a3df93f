package tulipshed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import tulipshed.config.JsonValues;
import tulipshed.config.MalformedInputException;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.testing.InputFuzzer;
import tulipshed.time.WallTime;

/** Tests of the parsers of discovery's HTTP responses and of the endpoint lists in them. */
class DiscoveryResponseParsingTest {
    private static final String LIST_JSON = "{\"version\":43,\"full\":false,\"servers\":[{\"id\":\"s-5b\",\"addr\":"
            + "\"10.1.0.18:8080\",\"zone\":\"a\",\"kind\":\"m2\",\"cell\":3,\"state\":\"DRAINING\",\"weight\":1.0,"
            + "\"started_ms\":5}]}";

    private static byte[] response(boolean chunked) {
        String body = chunked
                ? "5\r\n" + LIST_JSON.substring(0, 5) + "\r\n" + Integer.toHexString(LIST_JSON.length() - 5) + ";x\r\n"
                        + LIST_JSON.substring(5) + "\r\n0\r\n\r\n"
                : LIST_JSON;
        String length = chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + LIST_JSON.length();
        return ("HTTP/1.1 200 OK\r\n" + length + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1);
    }

    @Property(tries = 300, seed = "21")
    void parsesResponseRegardlessOfFragmentation(@ForAll boolean chunked, @ForAll long seed) {
        HttpResponseParser parser = new HttpResponseParser(200, 1000);
        InputFuzzer.feedInFragments(response(chunked), seed, parser::parse);
        assertTrue(parser.parse(ByteBuffer.allocate(0)));
        assertEquals(200, parser.status());
        assertEquals(LIST_JSON, new String(parser.body(), StandardCharsets.ISO_8859_1));
        EndpointListUpdate list = EndpointListUpdate.read(JsonValues.object(parser.body()));
        assertEquals(43, list.version());
        assertEquals(EndpointStatus.DRAINING, list.entries().get(0).status());
        assertEquals(new WallTime(5), list.entries().get(0).started());
    }

    @Property(tries = 500, seed = "22")
    void acceptsOrRejectsCorruptedResponse(@ForAll boolean chunked, @ForAll long seed) {
        HttpResponseParser parser = new HttpResponseParser(200, 1000);
        try {
            InputFuzzer.feedInFragments(InputFuzzer.corrupt(response(chunked), seed), seed, parser::parse);
            if (parser.endOfInput()) {
                EndpointListUpdate.read(JsonValues.object(parser.body()));
            }
        } catch (MalformedResponseException | MalformedInputException expected) {
            assertFalse(expected.getMessage().isEmpty());
        }
    }

    @Property(tries = 300, seed = "23")
    void boundsMemoryForArbitraryInput(@ForAll @Size(max = 600) byte[] garbage, @ForAll long seed) {
        HttpResponseParser parser = new HttpResponseParser(50, 100);
        try {
            InputFuzzer.feedInFragments(garbage, seed, parser::parse);
        } catch (MalformedResponseException expected) {
            assertFalse(expected.getMessage().isEmpty());
        }
        assertTrue(parser.body().length <= 100);
    }

    @Test
    void rejectsEntryWithoutId() {
        byte[] json = LIST_JSON.replace("\"id\":\"s-5b\",", "").getBytes(StandardCharsets.ISO_8859_1);
        assertThrows(MalformedInputException.class, () -> EndpointListUpdate.read(JsonValues.object(json)));
    }
}
