package tulipshed.operators;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NameIndex;
import tulipshed.config.NodeConfig;
import tulipshed.testing.InputFuzzer;

class OperatorsFileTest {
    private static final Path EXAMPLE = Path.of("../example/tulipshed.sexp");
    private final NameIndex names = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"))
            .nameIndex();

    private OperatorsFile read(String text) {
        return OperatorsFile.read("f", text.getBytes(StandardCharsets.UTF_8), names);
    }

    private String errors(String text) {
        return assertThrows(InvalidOperatorsFileException.class, () -> read(text))
                .lines();
    }

    @Test
    void exampleFileIsReadAndDeployedFileHasNoEffect() {
        OperatorsFile example = OperatorsFile.load(EXAMPLE, names);
        assertEquals(4433, example.quic().listen().getPort());
        assertEquals("s-2", example.quic().ids().get(0).servers().get("000002"));
        assertEquals(
                List.of("old-halls", "new-halls", "near"),
                List.copyOf(example.router().endpointIdsByPool().keySet()));
        OperatorsFile platform = OperatorsFile.load(Path.of("../deploy/tulipshed.sexp"), names);
        assertNull(platform.router());
        assertNull(platform.quic());
        assertEquals(List.of(), platform.explanation().lines());
    }

    @Test
    void casesOfTheExamplePassAndFailWithOtherRules() throws IOException {
        CaseTable table = CaseTable.read("cases", Files.readAllBytes(Path.of("../example/cases.sexp")));
        assertEquals(List.of(), table.run(OperatorsFile.load(EXAMPLE, names), names));
        assertTrue(table.size() >= 6);
        OperatorsFile other = read(Files.readString(EXAMPLE)
                .replace(">= (default containers 0) 40", "> (default containers 0) 60")
                .replace("tenant \"/\"", "\"no\" \"/\""));
        assertEquals(
                List.of(
                        "cases:8:1: case a large booking goes to the new halls: expected route large-bookings, got none",
                        "cases:8:1: case a large booking goes to the new halls: expected pool new-halls, got none",
                        "cases:14:1: case a berth makes the group, and the yard the pool: expected group usti-preprava/b12, got no/b12",
                        "cases:17:1: case in lower case it is of yard b: expected group usti-preprava/b12, got no/b12"),
                table.run(other, names));
        assertEquals(3, table.failed());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "(pol a (where true)) | f:1:1: expected a section, one of attributes, longest, max-cost, define, classify, pool, route, quic, found pol; did you mean pool?",
                "(pool a (were true)) | f:1:1: expected (where ...) in (pool ...)\\nf:1:9: expected one of where, found were; did you mean where?",
                "(pool a (where tenant)) | f:1:16: unknown name tenant",
                "(pool a (where (= member.kin \"x\"))) | f:1:19: unknown name member.kin; did you mean member.kind?",
                "(pool a (where true)) (route r (to b)) | f:1:36: unknown pool b",
                "(pool a (where true)) (route r (to (a (below 0.5) (back 0.4)))) | f:1:51: expected a share to come back at that is not below 0.5, found 0.4",
                "(pool a (where true)) (route r (split key (0 a))) | f:1:32: expected weights from 1 to 1000000 together, found 0",
                "(pool a (where true)) (pool a (where true)) | f:1:23: another pool is called a already",
                "(classify (rule r (when true) (class \"slot-bord\"))) | f:1:38: expected a class of the settings, found slot-bord; did you mean slot-board?",
                "(classify (rule r (when true))) | f:1:11: expected a class, a tenant or a group that the rule gives",
                "(classify (rule r (when 3) (group \"g\"))) | f:1:25: expected a boolean, found an integer: 3",
                "(attributes (berth strng)) | f:1:20: expected one of boolean, integer, decimal, string, found strng; did you mean string?",
                "(attributes (tenant string)) | f:1:13: tenant has a meaning already",
                "(define unused (+ 1 \"a\")) | f:1:16: expected two integers or two decimals, found an integer and a string",
                "(define unused (+ member.cell \"a\")) | f:1:16: expected two integers or two decimals, found an integer and a string",
                "(max-cost 5) (classify (rule r (when (matches key \"a+b\")) (group \"g\"))) | f:1:38: this may cost 1283 in all, over the max-cost of 5; most of it is (matches key \"a+b\")",
                "(quic (listen \"here\")) | f:1:15: expected a numeric host:port, found here"
            })
    void errorsAreReportedWithTheirPositionAndTheNearestName(String text, String expected) {
        String errors = errors(text);
        assertTrue(errors.contains(expected.replace("\\n", "\n")), errors);
    }

    @Test
    void valuesOfTheQuicSectionAreChecked() throws IOException {
        String example = Files.readString(EXAMPLE);
        for (String[] change : new String[][] {
            {
                "slot-booking\")\n  (tenant",
                "slot-nothing\")\n  (tenant",
                "expected a class of the settings, found slot-nothing"
            },
            {"(nonce-bytes 4)", "(nonce-bytes 3)", "expected an integer from 4 to 18, found the number 3"},
            {"(server-id-bytes 3)", "(server-id-bytes 15)", "expected a server id of 15 bytes, found 3"},
            {"000102030405060708090a0b0c0d0e0f", "0001", "expected a reset-key of 16 bytes at least, found 2"},
            {"00112233445566778899aabbccddeeff", "00zz", "expected hexadecimal digits"},
            {"\"000002\"", "\"000001\"", "this server id is given twice"},
            {"(deadline-ms 3000)", "", "expected (deadline-ms ...)"},
            {"(off 16)", "(off 64)", "expected off below on, which is 64"},
            {"(use 1)", "(use 2)", "there is no (key 2 ...)"}
        }) {
            assertTrue(example.contains(change[0]), change[0]);
            assertTrue(errors(example.replace(change[0], change[1])).contains(change[2]), change[2]);
        }
    }

    @Test
    void upToTwentyErrorsAreReportedTogether() {
        StringBuilder text = new StringBuilder("(pool a (where true))\n");
        for (int i = 0; i < 30; i++) {
            text.append("(route r" + i + " (when (= clas \"x\")) (to a))\n");
        }
        String[] lines = errors(text.toString()).split("\n");
        assertEquals(21, lines.length);
        assertEquals("f:2:20: unknown name clas; did you mean class?", lines[0]);
        assertEquals("f: and 10 more", lines[20]);
        String message = assertThrows(MalformedInputException.class, () -> read(text.toString()))
                .getMessage();
        assertEquals(1, message.lines().count(), "the message of a failed start is one line");
    }

    @Test
    void unusedDefinitionsAreChecked() {
        assertEquals(
                "f:1:13: only values of one type can be equal: a string, an integer\n"
                        + "f:1:71: only values of one type can be equal: a string, an integer",
                errors("(define one (= \"a\" 1)) (define two (= member.zone \"z\")) (define three (= member.zone 2))"));
    }

    /** Searching for similar names is too slow to do it for errors beyond the number that is reported. */
    @Test
    void largeNumberOfErrorsIsTruncated() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 20_000; i++) {
            text.append("(define name-" + i + " (= nothing-" + i + " \"" + i + "\"))\n");
        }
        assertEquals(21, errors(text.toString()).lines().count());
    }

    @Property(tries = 400, seed = "31")
    void corruptedFileIsReadOrRejectedWithPositions(@ForAll long seed) throws IOException {
        try {
            OperatorsFile.read("f", InputFuzzer.corrupt(Files.readAllBytes(EXAMPLE), seed), names);
        } catch (InvalidOperatorsFileException e) {
            for (String line : e.lines().split("\n")) {
                assertTrue(line.matches("f:[0-9]+:[0-9]+: .+|f: and [0-9]+ more"), line);
            }
        }
    }

    /** 10,000 rules that test one attribute for equality share one lookup, so a request costs as much as with one rule. */
    @Test
    void equalityRulesShareOneLookupAndTotalCostIsLimited() {
        StringBuilder rules = new StringBuilder("(max-cost 100) (classify\n");
        StringBuilder scans = new StringBuilder("(max-cost 100) (classify\n");
        for (int i = 0; i < 10_000; i++) {
            rules.append("(rule r" + i + " (when (= key \"k" + i + "\")) (group \"g" + i + "\"))\n");
            scans.append("(rule r" + i + " (when (contains class \"k" + i + "\")) (group \"g\"))\n");
        }
        OperatorsFile read = read("(longest (key 32))" + rules + ")");
        assertEquals(
                "classify: 10000 rules, cost at most 8 a request",
                read.explanation().lines().get(0));
        String scanErrors = errors(scans + ")");
        assertTrue(
                scanErrors.matches(
                        "(?s)(.*\\n)?f:1:16: classify may cost [0-9]+ a request, over the max-cost of 100; .*"),
                () -> "no single rule exceeds max-cost: " + scanErrors);
    }
}
