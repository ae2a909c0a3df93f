package tulipshed.management;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import tulipshed.testing.InputFuzzer;

/** Tests of the request parser with fragmented, corrupted and oversized input. */
class HttpRequestParserTest {
    private static final byte[] REQUEST =
            encoded("GET /status?x=1 HTTP/1.1\r\nHost: 127.0.0.1:1\r\nAccept: */*\r\n\r\n");

    private static byte[] encoded(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Property(tries = 200, seed = "51")
    void fragmentationDoesNotChangeParsedRequest(@ForAll long seed) {
        HttpRequestParser parser = new HttpRequestParser(4096);
        boolean[] complete = new boolean[1];
        InputFuzzer.feedInFragments(REQUEST, seed, in -> complete[0] |= parser.parse(in));
        assertTrue(complete[0]);
        assertEquals("GET /status", parser.method() + " " + parser.path());
    }

    @Property(tries = 300, seed = "52")
    void arbitraryBytesAreParsedOrReportedAsMalformed(@ForAll @Size(max = 300) byte[] garbage, @ForAll long seed) {
        HttpRequestParser parser = new HttpRequestParser(128);
        try {
            InputFuzzer.feedInFragments(
                    seed % 2 == 0 ? garbage : InputFuzzer.corrupt(REQUEST, seed), seed, parser::parse);
        } catch (MalformedRequestException expected) {
            assertTrue(!expected.getMessage().isBlank());
        }
    }

    @Test
    void rejectsHeadLongerThanLimit() {
        HttpRequestParser parser = new HttpRequestParser(64);
        assertThrows(
                MalformedRequestException.class,
                () -> parser.parse(ByteBuffer.wrap(encoded("GET /" + "x".repeat(100)))));
    }
}
