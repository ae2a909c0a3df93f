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
import tulipshed.sexpr.ReaderLimits;
import tulipshed.sexpr.SexprReader;

/**
 * Compiled expressions against a plain interpreter: the same values, at no higher cost than their bound. The
 * number of cases can be raised with {@code -Dfuzz.times=50}, which makes the 10 million of a long run.
 */
class ExpressionFuzzTest {
    private static final int INPUTS = 10 * Integer.getInteger("fuzz.times", 1);
    private static final ReaderLimits BOUNDS = new ReaderLimits(1 << 20, 100, 100_000);

    private static Form form(String text) {
        Diagnostics diagnostics = new Diagnostics("test");
        List<Form> forms = SexprReader.read(text.getBytes(StandardCharsets.UTF_8), BOUNDS, diagnostics);
        assertTrue(diagnostics.none(), diagnostics::toString);
        return forms.get(0);
    }

    @Property(tries = 20_000, seed = "4711", shrinking = ShrinkingMode.OFF)
    void compiledExpressionsGiveTheReferenceValueWithinTheirCostBound(@ForAll long seed) {
        RandomExpressions random = new RandomExpressions(seed);
        Schema schema = RandomExpressions.schema();
        Type type = Type.values()[(int) Math.floorMod(seed, 4L)];
        String text = random.typed(type, 5);
        Form form = form(text);
        Diagnostics diagnostics = new Diagnostics("test");
        TypeChecker checker = new TypeChecker(schema, diagnostics);
        Expression expression = checker.check(form, type);
        if (expression == null) {
            // Only a text that could grow too long is refused of what is well typed.
            assertTrue(diagnostics.toString().contains("may grow"), () -> text + "\n" + diagnostics);
            return;
        }
        compare(random, schema, form, text, expression);
    }

    @Property(tries = 6_000, seed = "4712", shrinking = ShrinkingMode.OFF)
    void expressionsThatPassTheTypeCheckNeverFail(@ForAll long seed) {
        RandomExpressions random = new RandomExpressions(seed);
        Schema schema = RandomExpressions.schema();
        String text = random.untyped(3);
        Form form = form(text);
        Diagnostics diagnostics = new Diagnostics("test");
        Expression expression = new TypeChecker(schema, diagnostics).infer(form);
        assertEquals(expression == null, !diagnostics.none(), text);
        if (expression != null) {
            compare(random, schema, form, text, expression);
        }
    }

    private static void compare(
            RandomExpressions random, Schema schema, Form form, String text, Expression expression) {
        Program.Builder builder = new Program.Builder(schema);
        CompiledExpression value = builder.value(expression);
        EvaluationFrame frame = builder.build().frame();
        long bound = new CostModel().bound(expression);
        for (int i = 0; i < INPUTS; i++) {
            Map<String, Object> values = random.values(schema);
            RandomExpressions.fill(frame, schema, values);
            Object actual = value.boxedValue(frame);
            Object expected = new ReferenceInterpreter(Map.of(), Map.of(), values).value(form);
            if (actual instanceof Double decimal && expected instanceof Number number) {
                assertTrue(
                        decimal.equals(number.doubleValue()) || decimal == number.doubleValue(),
                        () -> text + " with " + values + ": " + actual + ", not " + expected);
            } else {
                assertEquals(expected, actual, () -> text + " with " + values);
            }
            long spent = frame.spent();
            assertTrue(spent <= bound, () -> text + " with " + values + " cost " + spent + ", bound " + bound);
        }
    }

    @Property(tries = 600, seed = "4713", shrinking = ShrinkingMode.OFF)
    void ruleTableFindsTheFirstRuleThatHolds(@ForAll long seed) {
        RandomExpressions random = new RandomExpressions(seed);
        Schema schema = RandomExpressions.schema();
        Diagnostics diagnostics = new Diagnostics("test");
        TypeChecker checker = new TypeChecker(schema, diagnostics);
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
            Expression expression = checker.check(form, Type.BOOLEAN);
            assertNotNull(expression, diagnostics::toString);
            forms.add(form);
            conditions.add(expression);
        }
        Program.Builder builder = new Program.Builder(schema);
        RuleTable table = builder.table(conditions, checker.interner());
        EvaluationFrame frame = builder.build().frame();
        long bound = table.bound(new CostModel());
        for (int i = 0; i < 5 * INPUTS; i++) {
            Map<String, Object> values = random.values(schema);
            int expected = -1;
            ReferenceInterpreter reference = new ReferenceInterpreter(Map.of(), Map.of(), values);
            for (int rule = 0; rule < forms.size() && expected < 0; rule++) {
                expected = (Boolean) reference.value(forms.get(rule)) ? rule : -1;
            }
            RandomExpressions.fill(frame, schema, values);
            assertEquals(expected, table.first(frame), () -> forms + " with " + values);
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
