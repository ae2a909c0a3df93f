package tulipshed.cli;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import tulipshed.expression.CompiledExpression;
import tulipshed.expression.CostModel;
import tulipshed.expression.EvaluationFrame;
import tulipshed.expression.Expression;
import tulipshed.expression.Program;
import tulipshed.expression.Schema;
import tulipshed.expression.Type;
import tulipshed.expression.TypeChecker;
import tulipshed.operators.OperatorsFile;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.SexprReader;
import tulipshed.sexpr.SourcePosition;

/** {@code expression eval}: evaluates one expression. */
public final class ExpressionEvalCommand implements Command {
    @Argument(required = true, metaVar = "EXPRESSION", usage = "the expression to evaluate")
    private String expression;

    @Option(
            name = "--with",
            metaVar = "NAME=VALUE",
            usage =
                    "the value of an attribute, repeatable; a name that is "
                            + "not an attribute of a request or an endpoint declares one, whose type is inferred from the value")
    private List<String> assignments = new ArrayList<>();

    @Override
    public String description() {
        return "evaluates one expression: prints its type, its value and its maximum cost; exit code 2 on an error";
    }

    @Override
    public int run() {
        AttributeValues values = AttributeValues.parse(assignments);
        Diagnostics problems = new Diagnostics("expression");
        Optional<Expression> checked = parse(values.schema(), problems);
        if (checked.isEmpty() || !problems.none()) {
            System.err.println(problems);
            return ExitCode.MALFORMED_INPUT;
        }
        evaluate(checked.get(), values);
        return ExitCode.SUCCESS;
    }

    /** Reads and type-checks the expression; the result is valid only if no problem was added. */
    private Optional<Expression> parse(Schema schema, Diagnostics problems) {
        List<Form> forms =
                SexprReader.read(expression.getBytes(StandardCharsets.UTF_8), OperatorsFile.BOUNDS, problems);
        if (problems.none() && forms.size() != 1) {
            problems.add(
                    forms.isEmpty() ? SourcePosition.START : forms.get(1).place(),
                    "expected one expression, found " + forms.size());
        }
        if (!problems.none()) {
            return Optional.empty();
        }
        Expression checked = new TypeChecker(schema, problems).infer(forms.get(0));
        if (checked != null && checked.type() == Type.ADDRESS) {
            problems.add(checked.place(), "an address can only be compared or matched against networks");
        }
        return Optional.ofNullable(checked);
    }

    private static void evaluate(Expression checked, AttributeValues values) {
        Program.Builder builder = new Program.Builder(values.schema());
        CompiledExpression value = builder.value(checked);
        EvaluationFrame frame = builder.build().frame();
        frame.begin();
        values.setIn(frame, checked);
        System.out.println("type: " + checked.type());
        System.out.println("value: " + value.boxedValue(frame));
        System.out.println("cost: " + frame.spent() + ", at most " + new CostModel().bound(checked));
    }
}
