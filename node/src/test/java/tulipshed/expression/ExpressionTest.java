package tulipshed.expression;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.ReaderLimits;
import tulipshed.sexpr.SexprReader;

class ExpressionTest {
    private static final ReaderLimits BOUNDS = new ReaderLimits(8 << 20, 200, 900_000);
    private final Schema schema = new Schema();
    private final Attribute requestClass = schema.add("class", Type.STRING, false, 64);
    private final Attribute key = schema.add("key", Type.STRING, false, 4000);
    private final Attribute tenant = schema.add("tenant", Type.STRING, true, 64);
    private final Attribute size = schema.add("size", Type.INTEGER, true, 0);
    private final Attribute source = schema.add("source", Type.ADDRESS, false, 0);
    private final Diagnostics diagnostics = new Diagnostics("f");
    private final TypeChecker checker = new TypeChecker(schema, diagnostics);

    private List<Form> forms(String text) {
        List<Form> forms = SexprReader.read(text.getBytes(StandardCharsets.UTF_8), BOUNDS, diagnostics);
        forms.stream()
                .filter(form -> form instanceof Form.Sequence sequence && "define".equals(sequence.head()))
                .forEach(form -> checker.define((Form.Sequence) form));
        return forms;
    }

    private Expression infer(String text) {
        List<Form> forms = forms(text);
        return checker.infer(forms.get(forms.size() - 1));
    }

    private EvaluationFrame fill(
            Program program, String className, String keyValue, String tenantName, Long sizeValue, String address) {
        EvaluationFrame frame = program.frame();
        frame.begin();
        frame.set(requestClass, className);
        frame.set(key, keyValue);
        if (tenantName != null) {
            frame.set(tenant, tenantName);
        }
        if (sizeValue != null) {
            frame.set(size, (long) sizeValue);
        }
        Network network = Network.parse(address);
        frame.set(source, network.high(), network.low());
        return frame;
    }

    private Object value(String text) {
        Expression expression = infer(text);
        assertNotNull(expression, diagnostics::toString);
        Program.Builder builder = new Program.Builder(schema);
        CompiledExpression value = builder.value(expression);
        return value.boxedValue(fill(builder.build(), "gate", "k-17", "melnik", 7L, "10.1.2.3"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "(+ 9223372036854775807 (length class)) | 9223372036854775807",
                "(- -9223372036854775808 (default size 0)) | -9223372036854775808",
                "(* 4611686018427387904 (- 0 (default size 0))) | -9223372036854775808",
                "(/ -9223372036854775808 (- (length class) 5)  0) | 9223372036854775807",
                "(/ (default size 0) (- (length class) 4) -1) | -1",
                "(mod -7 (length class) 0) | 1",
                "(integer 2.9) | 2",
                "(+ 1 0.5) | 1.5",
                "(in (decimal (default size 0)) [7 8.5]) | true",
                "(in-network source [\"10.0.0.0/8\" \"fd00::/8\"]) | true",
                "(in-network source \"10.1.2.4/32\") | false",
                "(in-network source \"::ffff:10.1.0.0/112\") | true",
                "(let ((x class) (y \"-\")) (concat x y x)) | gate-gate",
                "(substring key 2 99) | 17",
                "(substring key 3 1) | ``",
                "(matches key \"^k-[0-9]+$\") | true",
                "(cond ((= class \"board\") 1) ((present size) 2) (else 3)) | 2",
                "(define large (> (default size 0) 5)) (define (both a b) (and a b)) (both large (= class \"gate\")) | true",
                "(hash \"\") | 3244421341483603138",
                "(string (- 0 9223372036854775807)) | -9223372036854775807"
            })
    void functionsGiveTheDocumentedValues(String text, String expected) {
        assertEquals(expected, String.valueOf(value(text)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "(= tenant \"a\") | f:1:4: tenant may be missing: say what holds then, (default tenant \"\")",
                "(= class 3) | f:1:1: only values of one type can be equal: a string, an integer",
                "(and (= clas \"x\") (prefix class 3)) | f:1:9: unknown name clas; did you mean class?\\nf:1:33: expected a string, found an integer: 3",
                "(prefixx class \"a\") | f:1:1: unknown function prefixx; did you mean prefix?",
                "(/ 3 (length class)) | f:1:6: the divisor may be 0: say what holds then, (/ A B ELSE)",
                "(+ (length class) (decimal 2) ) | f:1:1: expected two integers or two decimals, found an integer and a decimal; (decimal X) makes an integer one",
                "(matches class key) | f:1:16: expected a regular expression as it is, found the symbol key",
                "(matches class \"(a\") | f:1:16: not a regular expression of RE2: missing closing )",
                "(matches class \"(a)\\\\1\") | f:1:16: not a regular expression of RE2: invalid escape sequence",
                "(in class [key]) | f:1:12: expected a string as it is, found the symbol key",
                "(if (present size) 1 \"a\") | f:1:1: the two values are of different types: an integer, a string",
                "(default class \"\") | f:1:1: class is never missing and needs no default",
                "(bucket key 0) | f:1:13: expected a number of shares from 1 to 1000000",
                "(in-network source \"10.0.0.0/33\") | f:1:20: expected a network such as \"10.0.0.0/8\" or \"fd00::/8\", found the string \"10.0.0.0/33\"",
                "class2 | f:1:1: unknown name class2; did you mean class?",
                "(and) | f:1:1: expected (and BOOLEAN ...), found 0 arguments",
                "(concat key key) | f:1:1: this may grow to 8000 characters; at most 4096 are allowed: shorten a part with substring, or declare shorter attributes",
                "(define a b) (define b a) a | f:1:24: a is defined by itself: a -> b -> a",
                "(define (f x) (g x)) (define (g x) (f x)) (f 1) | f:1:36: f is defined by itself: f -> g -> f",
                "(define class 1) 1 | f:1:9: class has a meaning already",
                "(define (f x) (+ x y)) (let ((y 1)) (f y)) | f:1:20: unknown name y",
                "(= source source2) | f:1:11: unknown name source2; did you mean source?"
            })
    void errorsAreReportedWhenAnExpressionIsChecked(String text, String expected) {
        infer(text);
        assertEquals(expected.replace("\\n", "\n"), diagnostics.toString());
    }

    /** RE2/J writes counted repeats out before it says how large they are: without a guard this takes all memory. */
    @ParameterizedTest
    @CsvSource({
        "((a{100}){100}){100}",
        "(a{1000}){1000}",
        "(((a|b){50}[^]x]{50}){50}){50}",
        "((\\){999}){999}",
        "\\Q(\\E"
    })
    void largeRegularExpressionIsRejectedBeforeItIsCompiled(String pattern) {
        assertNull(infer("(matches class \"" + pattern.replace("\\", "\\\\") + "\")"));
        assertTrue(
                diagnostics.toString().contains("too large once its repeats are written out"), diagnostics::toString);
    }

    @ParameterizedTest
    @CsvSource({"'^[0-9]{1,3}([.][0-9]{1,3}){3}$'", "'[]{3}]{2}'", "'x{,3}'", "'(a|b)*c{20}'"})
    void ordinaryRegularExpressionIsAccepted(String pattern) {
        assertNotNull(infer("(matches class \"" + pattern + "\")"), diagnostics::toString);
    }

    /** What grows with its input has a bound that says so, found without any input. */
    @Test
    void costBoundFollowsTheDeclaredLengths() {
        assertEquals(1 + 1 + 1 + 4, new CostModel().bound(infer("(= class \"" + "x".repeat(64) + "\")")));
        long regex = new CostModel().bound(infer("(matches key \"(a|b)*c\")"));
        assertTrue(regex > 4000 / 16 * 5, "linear in the longest key: " + regex);
        assertTrue(new CostModel().bound(infer("(contains key (substring key 0 1000))")) > 4000 * 1000 / 16);
    }

    /** Each definition uses the one before it twice: as a tree the last has 2^60 parts. */
    @Test
    void costOfDefinitionsThatDoubleIsLinear() {
        StringBuilder text = new StringBuilder("(define d0 (+ (default size 0) 1)) ");
        for (int i = 1; i <= 60; i++) {
            text.append("(define d" + i + " (+ d" + (i - 1) + " d" + (i - 1) + ")) ");
        }
        assertEquals(Long.MAX_VALUE, value(text + "(+ d60 d60)"), "2^61 times 8, bounded");
        Expression expression = infer("(+ d60 d60)");
        assertTrue(
                new CostModel().bound(expression) < 500,
                "each is evaluated once: " + new CostModel().bound(expression));
        assertFalse(expression.references("class"));
        assertTrue(expression.toString().length() < 1000);
    }

    @Test
    void expansionOfParameterizedDefinitionsThatDoubleIsLinear() {
        StringBuilder text = new StringBuilder("(define (d0 x) (+ x 1)) ");
        for (int i = 1; i <= 60; i++) {
            text.append("(define (d" + i + " x) (+ (d" + (i - 1) + " x) (d" + (i - 1) + " x))) ");
        }
        assertEquals(Long.MAX_VALUE, value(text + "(d60 (default size 0))"));
    }

    @Test
    void deepChainOfDefinitionsIsAnErrorAndNoStackOverflow() {
        StringBuilder text = new StringBuilder("(define d0 (default size 0)) ");
        for (int i = 1; i <= 5000; i++) {
            text.append("(define d" + i + " (+ d" + (i - 1) + " 1)) ");
        }
        assertNull(infer(text + "d5000"));
        assertTrue(diagnostics.toString().contains("more than 250 deep"), diagnostics::toString);
    }

    @Test
    void addingABucketMovesStringsOnlyToTheNewOne() {
        Program.Builder builder = new Program.Builder(schema);
        List<CompiledExpression> buckets = new ArrayList<>();
        for (int n = 1; n <= 40; n++) {
            buckets.add(builder.value(infer("(bucket key " + n + ")")));
        }
        Program program = builder.build();
        int[] counts = new int[40];
        for (int i = 0; i < 4000; i++) {
            EvaluationFrame frame = fill(program, "gate", "key-" + i, null, null, "10.0.0.1");
            long before = 0;
            for (int n = 1; n <= 40; n++) {
                long now = buckets.get(n - 1).integerValue(frame);
                assertTrue(
                        now == before || now == n - 1, "moved to " + now + ", which is not the new share " + (n - 1));
                before = now;
            }
            counts[(int) before]++;
        }
        for (int count : counts) {
            assertTrue(count > 50 && count < 160, "about 100 of 4000 in each of 40: " + count);
        }
    }

    @Test
    void tenThousandRulesAreFoundByOneLookupWithoutAllocation() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 10_000; i++) {
            text.append("(and (= (lower tenant-name) \"t" + i + "\") (prefix key \"k-\"))\n");
        }
        List<Form> rules = forms("(define tenant-name (default tenant \"\"))\n" + text);
        List<Expression> conditions = new ArrayList<>();
        rules.subList(1, rules.size()).forEach(rule -> conditions.add(checker.check(rule, Type.BOOLEAN)));
        assertTrue(diagnostics.none(), diagnostics::toString);
        Program.Builder builder = new Program.Builder(schema);
        RuleTable table = builder.table(conditions, checker.interner());
        Program program = builder.build();
        assertEquals(
                List.of(
                        "one lookup of (lower (default tenant \"\")) among 10000 literals finds 10000 rules, at most 1 at a "
                                + "time"),
                table.plan());
        long bound = table.bound(new CostModel());
        assertTrue(bound < 60, "whatever the number of rules: " + bound);
        EvaluationFrame frame = fill(program, "gate", "k-1", "T9999", 1L, "10.0.0.1");
        assertEquals(9999, table.first(frame));
        assertTrue(frame.spent() <= bound);
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        int sum = 0;
        for (int round = 0; round < 2; round++) {
            long before = threads.getCurrentThreadAllocatedBytes();
            for (int i = 0; i < 50_000; i++) {
                frame.begin();
                frame.set(requestClass, "gate");
                frame.set(key, "k-1");
                frame.set(tenant, "T9999");
                sum += table.first(frame);
            }
            long allocated = threads.getCurrentThreadAllocatedBytes() - before;
            assertTrue(round == 0 || allocated < 50_000, "allocated " + allocated + " bytes in 50000 evaluations");
        }
        assertEquals(2 * 50_000 * 9999, sum);
    }

    @Test
    void frameRejectsStringLongerThanTheAttributeDeclares() {
        EvaluationFrame frame = new Program.Builder(schema).build().frame();
        assertThrows(IllegalArgumentException.class, () -> frame.set(requestClass, "x".repeat(65)));
    }
}
