package tulipshed.sexpr;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tulipshed.testing.InputFuzzer;

class SexprReaderTest {
    private static final ReaderLimits BOUNDS = new ReaderLimits(2 << 20, 200, 400_000);
    private final Diagnostics diagnostics = new Diagnostics("f");

    private List<Form> read(String text) {
        return SexprReader.read(text.getBytes(StandardCharsets.UTF_8), BOUNDS, diagnostics);
    }

    @Test
    void formsHaveTheirPositions() {
        List<Form> forms = read("; a comment\n(pool \"a\\\"b\\n\" -12 0.5\n  [x]) ; the end");
        assertTrue(diagnostics.none(), diagnostics::toString);
        Form.Sequence pool = (Form.Sequence) forms.get(0);
        assertEquals("pool", pool.head());
        assertEquals(
                new Form.StringLiteral("a\"b\n", new SourcePosition(2, 7)),
                pool.items().get(1));
        assertEquals(
                new Form.IntegerLiteral(-12, new SourcePosition(2, 16)),
                pool.items().get(2));
        assertEquals(
                new Form.DecimalLiteral(0.5, new SourcePosition(2, 20)),
                pool.items().get(3));
        Form.Sequence list = (Form.Sequence) pool.items().get(4);
        assertTrue(list.square());
        assertEquals(new SourcePosition(3, 3), list.place());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "(a (b)       | f:1:1: this ( is never closed",
                "(a (b        | f:1:4: this ( is never closed; nor are 1 before it",
                "(a]          | f:1:3: expected ) for the bracket at 1:1, found ]",
                "a)           | f:1:2: a ) that closes nothing",
                "\"a          | f:1:1: this string is not closed on its line",
                "\"a\\x\"     | f:1:4: expected \\\", \\\\, \\n or \\t, found \\x",
                "99999999999999999999 | f:1:1: expected a number of 64 bits, found 99999999999999999999",
                "1.2.3        | f:1:1: expected a number of 64 bits, found 1.2.3",
                "{            | f:1:1: expected a form, found {"
            })
    void errorsAreReportedWithTheirPosition(String text, String expected) {
        read(text);
        assertEquals(expected, diagnostics.toString());
    }

    /** A reader that calls itself for each bracket would run out of stack here. */
    @Test
    void nestingBeyondTheLimitIsOneError() {
        read("(".repeat(100_000) + ")".repeat(100_000));
        assertEquals("f:1:201: brackets more than 200 deep", diagnostics.toString());
    }

    @Test
    void sizeAndNumberOfFormsAreLimited() {
        assertEquals(List.of(), read(" ".repeat((2 << 20) + 1)));
        assertEquals("f:1:1: the file has 2097153 bytes; at most 2097152 are read", diagnostics.toString());
        Diagnostics forms = new Diagnostics("g");
        SexprReader.read("a ".repeat(400_001).getBytes(StandardCharsets.US_ASCII), BOUNDS, forms);
        assertTrue(forms.toString().endsWith("more than 400000 forms"), forms::toString);
    }

    @Property(tries = 500, seed = "21")
    void binaryAndCorruptedFilesGiveDiagnosticsOrForms(@ForAll long seed) {
        byte[] bytes = new byte[400];
        new Random(seed).nextBytes(bytes);
        Diagnostics binary = new Diagnostics("b");
        SexprReader.read(bytes, BOUNDS, binary);
        assertFalse(binary.none(), "400 random bytes are not UTF-8");
        byte[] corrupted = InputFuzzer.corrupt(
                "(route a (when (= class \"x\")) (to p [1 2.5]))".getBytes(StandardCharsets.US_ASCII), seed);
        Diagnostics ofCorrupted = new Diagnostics("s");
        List<Form> forms = SexprReader.read(corrupted, BOUNDS, ofCorrupted);
        assertTrue(!ofCorrupted.none() || !forms.isEmpty() || corrupted.length == 0 || corrupted[0] == ';');
    }

    @Test
    void firstTwentyErrorsAreReportedAndTheRestCounted() {
        for (int i = 30; i > 0; i--) {
            diagnostics.add(new SourcePosition(i, 1), "wrong");
        }
        diagnostics.add(new SourcePosition(30, 1), "wrong");
        String[] lines = diagnostics.toString().split("\n");
        assertEquals(21, lines.length);
        assertEquals("f:11:1: wrong", lines[0], "in the order of their places");
        assertEquals("f: and 10 more", lines[20], "the same one twice counts once");
    }

    @Test
    void nearestKnownNameIsSuggested() {
        List<String> known = List.of("tenant", "class", "group", "deadline-ms");
        assertEquals("; did you mean tenant?", NameSuggestions.hint("tenat", known));
        assertEquals("; did you mean class?", NameSuggestions.hint("calss", known));
        assertEquals("", NameSuggestions.hint("berth", known));
        assertEquals("", NameSuggestions.hint("x".repeat(100_000), known));
    }
}
