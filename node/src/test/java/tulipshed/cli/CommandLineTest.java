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

/** The sub-commands that need no node. */
class CommandLineTest {
    private static final String CONFIG = "src/test/resources/node.json";

    @TempDir
    private Path folder;

    private String out;
    private String err;

    private int run(String... args) {
        PrintStream realOut = System.out;
        PrintStream realErr = System.err;
        ByteArrayOutputStream o = new ByteArrayOutputStream();
        ByteArrayOutputStream e = new ByteArrayOutputStream();
        System.setOut(new PrintStream(o, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(e, true, StandardCharsets.UTF_8));
        try {
            return Main.run(args);
        } finally {
            System.setOut(realOut);
            System.setErr(realErr);
            out = o.toString(StandardCharsets.UTF_8);
            err = e.toString(StandardCharsets.UTF_8);
        }
    }

    @Test
    void everyCommandTellsOfItself() {
        assertEquals(0, run("--help"));
        for (String command : List.of("serve", "adapter", "check", "expression", "demo", "version")) {
            assertTrue(out.contains("  " + command), out);
            String listed = out;
            assertEquals(0, run(command, "--help"), command);
            assertTrue(out.contains("usage: tulipshed " + command), out);
            assertEquals("", err);
            out = listed;
        }
        for (String command : List.of("check", "explain", "eval", "test")) {
            assertEquals(0, run("expression", command, "--help"), command);
            assertTrue(out.contains("usage: tulipshed expression " + command), out);
        }
        assertEquals(2, run("srve"));
        assertEquals(1, err.lines().count(), err);
        assertEquals(2, run());
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
        assertEquals(
                0,
                run(
                        "expression",
                        "eval",
                        "(in-network source-address \"10.0.0.0/8\")",
                        "--with",
                        "source-address=10.9.9.9"));
        assertTrue(out.startsWith("type: boolean\nvalue: true\n"), out);
        for (String wrong : List.of("(+ 1 tenat)", "(", "1 2", "class", "source-address")) {
            assertEquals(2, run("expression", "eval", wrong), wrong);
            assertEquals("", out);
            assertEquals(1, err.lines().count(), err);
        }
        assertEquals(2, run("expression", "eval", "size", "--with", "size"));
    }

    @Test
    void checkAndTestTellAllThatIsWrongWithTheirFiles() throws IOException {
        String example = "../example/tulipshed.sexp";
        assertEquals(0, run("expression", "check", example, "--config", CONFIG));
        assertEquals(0, run("expression", "explain", example, "--config", CONFIG));
        assertTrue(out.contains("route large-bookings: when (and (= class \"slot-booking\")"), out);
        assertEquals(0, run("expression", "test", example, "../example/cases.sexp", "--config", CONFIG));
        assertEquals("6 cases passed, 0 failed\n", out);
        Path broken = Files.writeString(folder.resolve("broken.sexp"), "(pool a (where (= member.kin 1)))\n(rout b)\n");
        assertEquals(2, run("expression", "check", broken.toString(), "--config", CONFIG));
        assertEquals(2, err.lines().count(), err);
        Path other = Files.writeString(
                folder.resolve("other.sexp"), Files.readString(Path.of(example)).replace("40", "99"));
        assertEquals(1, run("expression", "test", other.toString(), "../example/cases.sexp", "--config", CONFIG));
        assertTrue(out.endsWith("5 cases passed, 1 failed\n"), out);
        assertEquals(2, run("expression", "check", folder.resolve("none").toString(), "--config", CONFIG));
    }
}
