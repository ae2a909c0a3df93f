package tulipshed.benchmark;

import dev.cel.common.types.SimpleType;
import dev.cel.compiler.CelCompiler;
import dev.cel.compiler.CelCompilerFactory;
import dev.cel.runtime.CelRuntime;
import dev.cel.runtime.CelRuntimeFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.commons.jexl3.JexlBuilder;
import org.apache.commons.jexl3.JexlEngine;
import org.apache.commons.jexl3.JexlExpression;
import org.apache.commons.jexl3.MapContext;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import tulipshed.expression.Attribute;
import tulipshed.expression.EvaluationFrame;
import tulipshed.expression.Expression;
import tulipshed.expression.Program;
import tulipshed.expression.RuleTable;
import tulipshed.expression.Schema;
import tulipshed.expression.Type;
import tulipshed.expression.TypeChecker;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.ReaderLimits;
import tulipshed.sexpr.SexprReader;

/** The first of many rules that holds: ours, CEL and JEXL on the same rules, of which the last holds. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 4, time = 1)
@Fork(1)
public class ExpressionBenchmark {
    /** How many rules there are. */
    @Param({"1", "100", "10000"})
    public int rules;

    private final Schema schema = new Schema();
    private final Attribute tenant = schema.add("tenant", Type.STRING, false, 64);
    private final Attribute key = schema.add("key", Type.STRING, false, 64);
    private RuleTable table;
    private EvaluationFrame frame;
    private final List<CelRuntime.Program> cel = new ArrayList<>();
    private final List<JexlExpression> jexl = new ArrayList<>();
    private String tenantNow;

    /** Runs all of it; further arguments are patterns of what to run. */
    public static void main(String[] args) throws RunnerException {
        OptionsBuilder options = new OptionsBuilder();
        options.include(args.length > 0 ? args[0] : ExpressionBenchmark.class.getSimpleName());
        options.addProfiler(GCProfiler.class);
        new Runner(options.build()).run();
    }

    /** Compiles the rules in all three. */
    @SuppressWarnings("InlineMeInliner") // the runtime that its own documentation shows
    @Setup
    public void compile() throws Exception {
        StringBuilder text = new StringBuilder();
        CelCompiler compiler = CelCompilerFactory.standardCelCompilerBuilder()
                .addVar("tenant", SimpleType.STRING)
                .addVar("key", SimpleType.STRING)
                .setResultType(SimpleType.BOOL)
                .build();
        CelRuntime runtime = CelRuntimeFactory.standardCelRuntimeBuilder().build();
        JexlEngine engine = new JexlBuilder().cache(0).create();
        for (int i = 0; i < rules; i++) {
            text.append("(and (= tenant \"tenant-").append(i).append("\") (prefix key \"k-\"))\n");
            cel.add(runtime.createProgram(compiler.compile("tenant == 'tenant-" + i + "' && key.startsWith('k-')")
                    .getAst()));
            jexl.add(engine.createExpression("tenant == 'tenant-" + i + "' && key =^ 'k-'"));
        }
        Diagnostics problems = new Diagnostics("benchmark");
        TypeChecker checker = new TypeChecker(schema, problems);
        List<Expression> conditions = new ArrayList<>();
        for (Form f : SexprReader.read(
                text.toString().getBytes(StandardCharsets.US_ASCII),
                new ReaderLimits(4 << 20, 100, 400_000),
                problems)) {
            conditions.add(checker.check(f, Type.BOOLEAN));
        }
        if (!problems.none()) {
            throw new IllegalStateException(problems.toString());
        }
        Program.Builder builder = new Program.Builder(schema);
        table = builder.table(conditions, checker.interner());
        frame = builder.build().frame();
        tenantNow = "tenant-" + (rules - 1);
        if (tulipshed() != rules - 1 || cel() != rules - 1 || jexl() != rules - 1) {
            throw new IllegalStateException("they differ");
        }
    }

    /** Ours. */
    @Benchmark
    public int tulipshed() {
        frame.begin();
        frame.set(tenant, tenantNow);
        frame.set(key, "k-7f3a9c21e0b4d655");
        return table.first(frame);
    }

    /** CEL for Java: one program after the other. */
    @Benchmark
    public int cel() throws Exception {
        Map<String, Object> values = new HashMap<>();
        values.put("tenant", tenantNow);
        values.put("key", "k-7f3a9c21e0b4d655");
        for (int i = 0; i < cel.size(); i++) {
            if ((Boolean) cel.get(i).eval(values)) {
                return i;
            }
        }
        return -1;
    }

    /** Commons JEXL: one expression after the other. */
    @Benchmark
    public int jexl() {
        MapContext values = new MapContext();
        values.set("tenant", tenantNow);
        values.set("key", "k-7f3a9c21e0b4d655");
        for (int i = 0; i < jexl.size(); i++) {
            if ((Boolean) jexl.get(i).evaluate(values)) {
                return i;
            }
        }
        return -1;
    }
}
