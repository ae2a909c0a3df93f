package tulipshed.expression;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.SexprReader;

/**
 * The compiled form against a plain reference: same values, and never dearer than its bound. The number of cases can be
 * raised with {@code -Dfuzz.times=50}, which makes the 10 million of a long run.
 */
class ExpressionFuzzTest {
    private static final int INPUTS = 10 * Integer.getInteger("fuzz.times", 1);
    private static final SexprReader.Bounds BOUNDS = new SexprReader.Bounds(1 << 20, 100, 100_000);

    private static Form form(String text) {
        Diagnostics problems = new Diagnostics("test");
        List<Form> forms = SexprReader.read(text.getBytes(StandardCharsets.UTF_8), BOUNDS, problems);
        assertTrue(problems.none(), problems::toString);
        return forms.get(0);
    }

    @Property(tries = 20_000, seed = "4711", shrinking = ShrinkingMode.OFF)
    void theCompiledFormGivesWhatTheReferenceGivesAndKeepsToItsBound(@ForAll long seed) {
        RandomExpressions random = new RandomExpressions(seed);
        Schema schema = RandomExpressions.schema();
        Type type = Type.values()[(int) Math.floorMod(seed, 4L)];
        String text = random.typed(type, 5);
        Form form = form(text);
        Diagnostics problems = new Diagnostics("test");
        TypeChecker checker = new TypeChecker(schema, problems);
        Expression e = checker.check(form, type);
        if (e == null) {
            // Only a text that could grow too long is refused of what is well typed.
            assertTrue(problems.toString().contains("may grow"), () -> text + "\n" + problems);
            return;
        }
        compare(random, schema, form, text, e);
    }

    @Property(tries = 6_000, seed = "4712", shrinking = ShrinkingMode.OFF)
    void whatPassesTheCheckNeverFails(@ForAll long seed) {
        RandomExpressions random = new RandomExpressions(seed);
        Schema schema = RandomExpressions.schema();
        String text = random.untyped(3);
        Form form = form(text);
        Diagnostics problems = new Diagnostics("test");
        Expression e = new TypeChecker(schema, problems).infer(form);
        assertEquals(e == null, !problems.none(), text);
        if (e != null) {
            compare(random, schema, form, text, e);
        }
    }

    private static void compare(RandomExpressions random, Schema schema, Form form, String text, Expression e) {
        Program.Builder builder = new Program.Builder(schema);
        Program.Value value = builder.value(e);
        EvaluationFrame frame = builder.build().frame();
        long bound = new CostModel().bound(e);
        for (int i = 0; i < INPUTS; i++) {
            Map<String, Object> values = random.values(schema);
            RandomExpressions.fill(frame, schema, values);
            Object got = value.boxedValue(frame);
            Object want = new Reference(Map.of(), Map.of(), values).value(form);
            if (got instanceof Double d && want instanceof Number n) {
                assertTrue(
                        d.equals(n.doubleValue()) || d == n.doubleValue(),
                        () -> text + " with " + values + ": " + got + ", not " + want);
            } else {
                assertEquals(want, got, () -> text + " with " + values);
            }
            long spent = frame.spent();
            assertTrue(spent <= bound, () -> text + " with " + values + " cost " + spent + ", bound " + bound);
        }
    }

    @Property(tries = 600, seed = "4713", shrinking = ShrinkingMode.OFF)
    void aTableFindsTheFirstRuleThatHolds(@ForAll long seed) {
        RandomExpressions random = new RandomExpressions(seed);
        Schema schema = RandomExpressions.schema();
        Diagnostics problems = new Diagnostics("test");
        TypeChecker checker = new TypeChecker(schema, problems);
        List<Form> forms = new ArrayList<>();
        List<Expression> conditions = new ArrayList<>();
        int rules = (int) Math.floorMod(seed, 40L);
        for (int i = 0; i < rules; i++) {
            String common = switch ((int) Math.floorMod(seed + i, 5L)) {
                case 0 -> random.typed(Type.BOOLEAN, 2);
                case 1 -> "(prefix class " + quoted(random, schema) + ")";
                case 2 -> "(in class [" + quoted(random, schema) + " " + quoted(random, schema) + "])";
                case 3 -> "(= (default size 0) " + (i % 7) + ")";
                default -> "(= class " + quoted(random, schema) + ")";
            };
            Form form = form("(and " + common + " " + random.typed(Type.BOOLEAN, 1) + ")");
            Expression e = checker.check(form, Type.BOOLEAN);
            assertNotNull(e, problems::toString);
            forms.add(form);
            conditions.add(e);
        }
        Program.Builder builder = new Program.Builder(schema);
        RuleTable table = builder.table(conditions, checker.interner());
        EvaluationFrame frame = builder.build().frame();
        long bound = table.bound(new CostModel());
        for (int i = 0; i < 5 * INPUTS; i++) {
            Map<String, Object> values = random.values(schema);
            int want = -1;
            Reference reference = new Reference(Map.of(), Map.of(), values);
            for (int r = 0; r < forms.size() && want < 0; r++) {
                want = (Boolean) reference.value(forms.get(r)) ? r : -1;
            }
            RandomExpressions.fill(frame, schema, values);
            assertEquals(want, table.first(frame), () -> forms + " with " + values);
            assertTrue(frame.spent() <= bound, () -> forms + " with " + values);
        }
    }

    private static String quoted(RandomExpressions random, Schema schema) {
        return '"'
                + String.valueOf(random.values(schema).get("class"))
                        .replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                + '"';
    }
}
