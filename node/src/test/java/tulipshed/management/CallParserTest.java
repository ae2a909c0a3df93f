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
import tulipshed.testing.Cuts;

class CallParserTest {
    private static final byte[] CALL = ascii("GET /status?x=1 HTTP/1.1\r\nHost: 127.0.0.1:1\r\nAccept: */*\r\n\r\n");

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Property(tries = 200, seed = "51")
    void cutsDoNotChangeACall(@ForAll long seed) {
        CallParser parser = new CallParser(4096);
        boolean[] whole = new boolean[1];
        Cuts.feed(CALL, seed, in -> whole[0] |= parser.take(in));
        assertTrue(whole[0]);
        assertEquals("GET /status", parser.method() + " " + parser.path());
    }

    @Property(tries = 300, seed = "52")
    void garbageIsACallOrBadAndNothingElse(@ForAll @Size(max = 300) byte[] garbage, @ForAll long seed) {
        CallParser parser = new CallParser(128);
        try {
            Cuts.feed(seed % 2 == 0 ? garbage : Cuts.spoil(CALL, seed), seed, parser::take);
        } catch (BadCall expected) {
            assertTrue(!expected.getMessage().isBlank());
        }
    }

    @Test
    void whatHasNoEndIsBounded() {
        CallParser parser = new CallParser(64);
        assertThrows(BadCall.class, () -> parser.take(ByteBuffer.wrap(ascii("GET /" + "x".repeat(100)))));
    }
}
