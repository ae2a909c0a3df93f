package tulipshed.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Usage texts, exit codes and output of the sub-commands that do not start a node. */
class CommandLineTest {
    private static final String CONFIG = "src/test/resources/node.json";
    private static final String EXAMPLE = "../example/tulipshed.sexp";
    private static final String EXAMPLE_CASES = "../example/cases.sexp";

    @TempDir
    private Path directory;

    private String out;
    private String err;

    private int run(String... args) {
        PrintStream originalOut = System.out;
        PrintStream originalErr = System.err;
        ByteArrayOutputStream capturedOut = new ByteArrayOutputStream();
        ByteArrayOutputStream capturedErr = new ByteArrayOutputStream();
        System.setOut(new PrintStream(capturedOut, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(capturedErr, true, StandardCharsets.UTF_8));
        try {
            return Main.run(args);
        } finally {
            System.setOut(originalOut);
            System.setErr(originalErr);
            out = capturedOut.toString(StandardCharsets.UTF_8);
            err = capturedErr.toString(StandardCharsets.UTF_8);
        }
    }

    @Test
    void helpListsAndDescribesEveryCommand() {
        assertEquals(0, run("--help"));
        for (String command : List.of("serve", "adapter", "check", "expression", "demo", "version")) {
            assertTrue(out.contains("  " + command), out);
            String listed = out;
            assertEquals(0, run(command, "--help"), command);
            assertTrue(out.contains("usage: tulipshed " + command), out);
            assertEquals("", err);
            out = listed;
        }
    }

    @Test
    void helpDescribesEveryExpressionCommand() {
        for (String command : List.of("check", "explain", "eval", "test")) {
            assertEquals(0, run("expression", command, "--help"), command);
            assertTrue(out.contains("usage: tulipshed expression " + command), out);
        }
    }

    @Test
    void rejectsUnknownCommandOnOneLine() {
        assertEquals(2, run("srve"));
        assertEquals(1, err.lines().count(), err);
    }

    @Test
    void rejectsMissingCommand() {
        assertEquals(2, run());
    }

    @Test
    void rejectsUnknownOptionOnOneLine() {
        assertEquals(2, run("serve", "--nothing"));
        assertEquals(1, err.lines().count(), err);
    }

    @Test
    void evalPrintsTypeValueAndCostOnThreeLines() {
        assertEquals(
                0,
                run(
                        "expression",
                        "eval",
                        "(if (> (default size 3) 2) (concat class \"-\") \"b\")",
                        "--with",
                        "class=gate",
                        "--with",
                        "size=5"));
        assertEquals("type: string\nvalue: gate-\ncost: 9, at most 26\n", out);
    }

    @Test
    void evalReadsAddresses() {
        assertEquals(
                0,
                run(
                        "expression",
                        "eval",
                        "(in-network source-address \"10.0.0.0/8\")",
                        "--with",
                        "source-address=10.9.9.9"));
        assertTrue(out.startsWith("type: boolean\nvalue: true\n"), out);
    }

    @Test
    void evalRejectsMalformedExpressionOnOneLine() {
        for (String malformed : List.of("(+ 1 tenat)", "(", "1 2", "class", "source-address")) {
            assertEquals(2, run("expression", "eval", malformed), malformed);
            assertEquals("", out);
            assertEquals(1, err.lines().count(), err);
        }
    }

    @Test
    void evalRejectsAttributeWithoutValue() {
        assertEquals(2, run("expression", "eval", "size", "--with", "size"));
    }

    @Test
    void checkAcceptsExample() {
        assertEquals(0, run("expression", "check", EXAMPLE, "--config", CONFIG));
    }

    @Test
    void explainPrintsRoutes() {
        assertEquals(0, run("expression", "explain", EXAMPLE, "--config", CONFIG));
        assertTrue(out.contains("route large-bookings: when (and (= class \"slot-booking\")"), out);
    }

    @Test
    void testCommandCountsPassedCases() {
        assertEquals(0, run("expression", "test", EXAMPLE, EXAMPLE_CASES, "--config", CONFIG));
        assertEquals("6 cases passed, 0 failed\n", out);
    }

    @Test
    void testCommandFailsWhereACaseFails() throws IOException {
        Path changed = Files.writeString(
                directory.resolve("other.sexp"),
                Files.readString(Path.of(EXAMPLE)).replace("40", "99"));
        assertEquals(1, run("expression", "test", changed.toString(), EXAMPLE_CASES, "--config", CONFIG));
        assertTrue(out.endsWith("5 cases passed, 1 failed\n"), out);
    }

    @Test
    void checkReportsEachProblemOnALine() throws IOException {
        Path broken =
                Files.writeString(directory.resolve("broken.sexp"), "(pool a (where (= member.kin 1)))\n(rout b)\n");
        assertEquals(2, run("expression", "check", broken.toString(), "--config", CONFIG));
        assertEquals(2, err.lines().count(), err);
    }

    @Test
    void checkRejectsMissingFile() {
        assertEquals(2, run("expression", "check", directory.resolve("none").toString(), "--config", CONFIG));
    }
}
