package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import tulipshed.config.NameIndex;
import tulipshed.proxy.Request.Attributes;
import tulipshed.routing.Declarations;
import tulipshed.testing.InputFuzzer;

class LineParserTest {
    private static final String OPEN_COMMAND =
            "OPEN 9b1f03aa5c7e2d41 7f3a c=chat,t=acme,d=2000,g=5c0f,again=1,zz=9\r\n";

    private static NameIndex names() {
        return new NameIndex(Map.of("chat", 0), Map.of("acme", 3));
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Property(tries = 300, seed = "11")
    void decodesSameLinesHoweverInputIsSplit(
            @ForAll @Size(max = 20) List<@IntRange(max = 60) Integer> lengths, @ForAll long seed) {
        List<String> sent = lengths.stream().map(n -> "x".repeat(n) + "\r\n").toList();
        CrlfDecoder splitter = new CrlfDecoder(64);
        List<String> got = new ArrayList<>();
        InputFuzzer.feedInFragments(ascii(String.join("", sent)), seed, in -> {
            for (byte[] l = splitter.next(in); l != null; l = splitter.next(in)) {
                got.add(new String(l, StandardCharsets.ISO_8859_1));
            }
        });
        assertEquals(sent, got);
        assertEquals(0, splitter.partialBytes());
    }

    @Property(tries = 300, seed = "12")
    void preservesEveryByteOfGarbage(@ForAll @Size(max = 500) byte[] garbage, @ForAll long seed) {
        CrlfDecoder splitter = new CrlfDecoder(16);
        ByteArrayOutputStream got = new ByteArrayOutputStream();
        InputFuzzer.feedInFragments(garbage, seed, in -> {
            while (in.hasRemaining()) {
                try {
                    byte[] line = splitter.next(in);
                    got.writeBytes(line == null ? new byte[0] : line);
                } catch (MalformedLineException tooLong) {
                    got.writeBytes(splitter.takePartialLine());
                }
            }
        });
        got.writeBytes(splitter.takePartialLine());
        assertArrayEquals(garbage, got.toByteArray());
    }

    @Property(tries = 500, seed = "13")
    void parsesOrRejectsCorruptedOpenCommand(@ForAll long seed) {
        byte[] line = InputFuzzer.corrupt(ascii(OPEN_COMMAND), seed);
        try {
            // What is let through must go on byte for byte but for its wait.
            OpenCommand read = new OpenCommandParser(names(), Declarations.NONE, 60_000).parse(line);
            String onward = new String(read.forwardedLine(read.attributes().timeoutMs()), StandardCharsets.ISO_8859_1);
            assertEquals(
                    new String(line, StandardCharsets.ISO_8859_1).replaceAll("d=[0-9.]+", ""),
                    onward.replaceAll("d=[0-9.]+", ""));
        } catch (MalformedLineException expected) {
            assertEquals(MalformedLineException.class, expected.getClass());
        }
    }

    @Test
    void replacesOnlyTimeoutWhenForwarding() {
        OpenCommand line = new OpenCommandParser(names(), Declarations.NONE, 60_000).parse(ascii(OPEN_COMMAND));
        assertEquals(new Attributes(0, 3, "7f3a", "5c0f", 2000, 0, false, true), line.attributes());
        assertEquals(
                OPEN_COMMAND.replace("d=2000", "d=1234"),
                new String(line.forwardedLine(1234.9), StandardCharsets.ISO_8859_1));
        // A wait of nothing would tell the member that the client has gone.
        assertEquals(
                OPEN_COMMAND.replace("d=2000", "d=1"),
                new String(line.forwardedLine(0.2), StandardCharsets.ISO_8859_1));
    }

    /** Seen on a day that did not begin: connections that stood before name waits far longer than any answer's. */
    @Test
    void acceptsAnyTimeoutForAdoptedConnection() {
        String line = "OPEN 1 k c=chat,t=acme,d=86400000,at=s-1\r\n";
        assertEquals(
                86_400_000,
                new OpenCommandParser(names(), Declarations.NONE, 60_000)
                        .parse(ascii(line))
                        .attributes()
                        .timeoutMs());
    }

    @Test
    void rejectsMalformedOpenCommands() {
        for (String bad : List.of(
                "OPEN 1 k c=chat,t=acme,d=5\n",
                "OPEN 1 k c=nope,t=acme,d=5\r\n",
                "OPEN 1 k c=chat,t=acme\r\n",
                "OPEN 1 k c=chat,t=acme,d=-5\r\n",
                "OPEN 1 k c=chat,t=acme,d=5,d=6\r\n",
                "OPEN 1  k c=chat,t=acme,d=5\r\n",
                "OPEN 1 k c=chat,t=acme,d=5 \r\n",
                "open 1 k c=chat,t=acme,t=acme,d=5\r\n",
                "OPEN 1 k c=chat,t=acme,d=5,g=\u0007\r\n",
                "\r\n",
                "OPEN 1 k c=chat,d=5\r\n",
                "OPEN 1 k c=chat,t=acme,d=60001\r\n",
                "OPEN 1 k c=chat,t=nobody,d=5\r\n")) {
            assertThrows(
                    MalformedLineException.class,
                    () -> new OpenCommandParser(names(), Declarations.NONE, 60_000).parse(ascii(bad)),
                    bad);
        }
    }
}
