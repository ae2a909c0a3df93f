package tulipshed.lineprotocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import tulipshed.config.NameIndex;
import tulipshed.proxy.RequestParameters;
import tulipshed.routing.AttributeDeclarations;
import tulipshed.testing.InputFuzzer;

/** Parsing of open commands and rejection of malformed ones. */
class OpenCommandParserTest {
    private static final String OPEN_COMMAND =
            "OPEN 9b1f03aa5c7e2d41 7f3a c=chat,t=acme,d=2000,g=5c0f,again=1,zz=9\r\n";

    private static NameIndex names() {
        return new NameIndex(Map.of("chat", 0), Map.of("acme", 3));
    }

    private static byte[] encoded(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Property(tries = 500, seed = "13")
    void parsesOrRejectsCorruptedOpenCommand(@ForAll long seed) {
        byte[] line = InputFuzzer.corrupt(encoded(OPEN_COMMAND), seed);
        try {
            // An accepted command must be forwarded byte for byte except for its timeout.
            OpenCommand command = new OpenCommandParser(names(), AttributeDeclarations.NONE, 60_000).parse(line);
            String forwarded =
                    new String(command.forwardedLine(command.parameters().timeoutMs()), StandardCharsets.ISO_8859_1);
            assertEquals(
                    new String(line, StandardCharsets.ISO_8859_1).replaceAll("d=[0-9.]+", ""),
                    forwarded.replaceAll("d=[0-9.]+", ""));
        } catch (MalformedLineException expected) {
            assertEquals(MalformedLineException.class, expected.getClass());
        }
    }

    @Test
    void replacesOnlyTimeoutWhenForwarding() {
        OpenCommand command =
                new OpenCommandParser(names(), AttributeDeclarations.NONE, 60_000).parse(encoded(OPEN_COMMAND));
        assertEquals(new RequestParameters(0, 3, "7f3a", "5c0f", 2000, 0, false, true), command.parameters());
        assertEquals(
                OPEN_COMMAND.replace("d=2000", "d=1234"),
                new String(command.forwardedLine(1234.9), StandardCharsets.ISO_8859_1));
        // An endpoint takes a timeout of 0 to mean that the client has disconnected.
        assertEquals(
                OPEN_COMMAND.replace("d=2000", "d=1"),
                new String(command.forwardedLine(0.2), StandardCharsets.ISO_8859_1));
    }

    /** Regression: an adopted connection may state its lifetime as the timeout, which far exceeds any response time. */
    @Test
    void acceptsAnyTimeoutForAdoptedConnection() {
        String line = "OPEN 1 k c=chat,t=acme,d=86400000,at=s-1\r\n";
        assertEquals(
                86_400_000,
                new OpenCommandParser(names(), AttributeDeclarations.NONE, 60_000)
                        .parse(encoded(line))
                        .parameters()
                        .timeoutMs());
    }

    @Test
    void rejectsMalformedOpenCommands() {
        for (String malformed : List.of(
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
                    () -> new OpenCommandParser(names(), AttributeDeclarations.NONE, 60_000).parse(encoded(malformed)),
                    malformed);
        }
    }
}
