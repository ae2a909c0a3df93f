package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import tulipshed.config.SettingsReader.Names;
import tulipshed.routing.Declarations;
import tulipshed.testing.Cuts;
import tulipshed.proxy.Transaction.Arrival;

class LineParserTest {
    private static final String OPEN = "OPEN 9b1f03aa5c7e2d41 7f3a c=chat,t=acme,d=2000,g=5c0f,again=1,zz=9\r\n";

    private static Names names() {
        Names names = new Names();
        names.classes.put("chat", 0);
        names.tenants.put("acme", 3);
        return names;
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Property(tries = 300, seed = "11")
    void cutsDoNotChangeTheLines(@ForAll @Size(max = 20) List<@IntRange(max = 60) Integer> lengths, @ForAll long seed) {
        List<String> sent = lengths.stream().map(n -> "x".repeat(n) + "\r\n").toList();
        LineSplitter splitter = new LineSplitter(64);
        List<String> got = new ArrayList<>();
        Cuts.feed(ascii(String.join("", sent)), seed, in -> {
            for (byte[] l = splitter.next(in); l != null; l = splitter.next(in)) {
                got.add(new String(l, StandardCharsets.ISO_8859_1));
            }
        });
        assertEquals(sent, got);
        assertEquals(0, splitter.held());
    }

    @Property(tries = 300, seed = "12")
    void garbageLosesNoByteAndStaysBounded(@ForAll @Size(max = 500) byte[] garbage, @ForAll long seed) {
        LineSplitter splitter = new LineSplitter(16);
        ByteArrayOutputStream got = new ByteArrayOutputStream();
        Cuts.feed(garbage, seed, in -> {
            while (in.hasRemaining()) {
                try {
                    byte[] line = splitter.next(in);
                    got.writeBytes(line == null ? new byte[0] : line);
                } catch (BadLine tooLong) {
                    got.writeBytes(splitter.rest());
                }
            }
        });
        got.writeBytes(splitter.rest());
        assertArrayEquals(garbage, got.toByteArray());
    }

    @Property(tries = 500, seed = "13")
    void aSpoiltLineIsReadOrCalledBadAndNothingElse(@ForAll long seed) {
        byte[] line = Cuts.spoil(ascii(OPEN), seed);
        try {
            // What is let through must go on byte for byte but for its wait.
            OpeningLine read = OpeningLine.parse(line, names(), Declarations.NONE, 60_000);
            String onward = new String(read.onward(read.arrival().waitMs()), StandardCharsets.ISO_8859_1);
            assertEquals(
                    new String(line, StandardCharsets.ISO_8859_1).replaceAll("d=[0-9.]+", ""),
                    onward.replaceAll("d=[0-9.]+", ""));
        } catch (BadLine expected) {
            assertEquals(BadLine.class, expected.getClass());
        }
    }

    @Test
    void onlyTheWaitChangesOnTheWay() {
        OpeningLine line = OpeningLine.parse(ascii(OPEN), names(), Declarations.NONE, 60_000);
        assertEquals(new Arrival(0, 3, "7f3a", "5c0f", 2000, 0, false, true), line.arrival());
        assertEquals(OPEN.replace("d=2000", "d=1234"), new String(line.onward(1234.9), StandardCharsets.ISO_8859_1));
        // A wait of nothing would tell the member that the client has gone.
        assertEquals(OPEN.replace("d=2000", "d=1"), new String(line.onward(0.2), StandardCharsets.ISO_8859_1));
    }

    /** Seen on a day that did not begin: connections that stood before name waits far longer than any answer's. */
    @Test
    void oneThatStoodBeforeMayNameAnyWait() {
        String line = "OPEN 1 k c=chat,t=acme,d=86400000,at=s-1\r\n";
        assertEquals(
                86_400_000,
                OpeningLine.parse(ascii(line), names(), Declarations.NONE, 60_000)
                        .arrival()
                        .waitMs());
    }

    @Test
    void whatNoClientSendsIsBad() {
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
            assertThrows(BadLine.class, () -> OpeningLine.parse(ascii(bad), names(), Declarations.NONE, 60_000), bad);
        }
    }
}
