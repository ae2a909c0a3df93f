package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import tulipshed.testing.InputFuzzer;

/** Decoding of lines does not depend on the fragmentation of the input. */
class CrlfDecoderTest {
    private static byte[] encoded(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Property(tries = 300, seed = "11")
    void decodesSameLinesHoweverInputIsSplit(
            @ForAll @Size(max = 20) List<@IntRange(max = 60) Integer> lengths, @ForAll long seed) {
        List<String> sent = lengths.stream().map(n -> "x".repeat(n) + "\r\n").toList();
        CrlfDecoder decoder = new CrlfDecoder(64);
        List<String> decoded = new ArrayList<>();
        InputFuzzer.feedInFragments(encoded(String.join("", sent)), seed, in -> {
            for (byte[] line = decoder.next(in); line != null; line = decoder.next(in)) {
                decoded.add(new String(line, StandardCharsets.ISO_8859_1));
            }
        });
        assertEquals(sent, decoded);
        assertEquals(0, decoder.partialBytes());
    }

    @Property(tries = 300, seed = "12")
    void preservesEveryByteOfGarbage(@ForAll @Size(max = 500) byte[] garbage, @ForAll long seed) {
        CrlfDecoder decoder = new CrlfDecoder(16);
        ByteArrayOutputStream decoded = new ByteArrayOutputStream();
        InputFuzzer.feedInFragments(garbage, seed, in -> {
            while (in.hasRemaining()) {
                try {
                    byte[] line = decoder.next(in);
                    decoded.writeBytes(line == null ? new byte[0] : line);
                } catch (MalformedLineException tooLong) {
                    decoded.writeBytes(decoder.takePartialLine());
                }
            }
        });
        decoded.writeBytes(decoder.takePartialLine());
        assertArrayEquals(garbage, decoded.toByteArray());
    }
}
