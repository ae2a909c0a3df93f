package tulipshed.cli;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import tulipshed.config.MalformedInputException;
import tulipshed.expression.Attribute;
import tulipshed.expression.Checker;
import tulipshed.expression.Cost;
import tulipshed.expression.Expr;
import tulipshed.expression.Frame;
import tulipshed.expression.Network;
import tulipshed.expression.Program;
import tulipshed.expression.Schema;
import tulipshed.expression.Type;
import tulipshed.operators.OperatorsFile;
import tulipshed.routing.Declarations;
import tulipshed.routing.MemberSchema;
import tulipshed.routing.TransactionSchema;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.Problems;
import tulipshed.sexpr.SexprReader;

/** Works out one expression. */
public final class ExpressionEvalCommand implements Command {
    private static final int LONGEST = 256;

    @Argument(required = true, metaVar = "EXPRESSION", usage = "what to work out")
    private String expression;

    @Option(
            name = "--with",
            metaVar = "NAME=VALUE",
            usage =
                    "an attribute's value, as often as there are attributes; a name "
                            + "that is not an attribute of a transaction or a member becomes one, of the type that its value looks like")
    private List<String> with = new ArrayList<>();

    @Override
    public String description() {
        return "works out one expression: prints its type, its value and the most that it may cost; exit code 2 on an error";
    }

    @Override
    public int run() {
        Map<String, String> given = new LinkedHashMap<>();
        for (String w : with) {
            int equals = w.indexOf('=');
            if (equals <= 0) {
                throw new MalformedInputException("--with takes NAME=VALUE, not " + w);
            }
            given.put(w.substring(0, equals), w.substring(equals + 1));
        }
        Schema schema = schema(given);
        Problems problems = new Problems("expression");
        List<Form> forms =
                SexprReader.read(expression.getBytes(StandardCharsets.UTF_8), OperatorsFile.BOUNDS, problems);
        if (problems.none() && forms.size() != 1) {
            problems.add(
                    forms.isEmpty() ? tulipshed.sexpr.Place.START : forms.get(1).place(),
                    "expected one expression, found " + forms.size());
        }
        Expr e = problems.none() ? new Checker(schema, problems).any(forms.get(0)) : null;
        if (e != null && e.type() == Type.ADDRESS) {
            problems.add(e.place(), "an address can only be compared or looked for in networks");
        }
        if (!problems.none()) {
            System.err.println(problems);
            return 2;
        }
        Program.Builder builder = new Program.Builder(schema);
        Program.Value value = builder.value(e);
        Frame frame = builder.build().frame();
        frame.begin();
        for (Attribute a : schema.all()) {
            if (given.containsKey(a.name())) {
                set(frame, a, given.get(a.name()));
            } else if (!a.optional() && e.asks(a.name())) {
                throw new MalformedInputException(
                        "the expression asks for " + a.name() + ": give it, --with " + a.name() + "=...");
            }
        }
        System.out.println("type: " + e.type());
        System.out.println("value: " + value.boxed(frame));
        System.out.println("cost: " + frame.spent() + ", at most " + new Cost().bound(e));
        return 0;
    }

    private static Schema schema(Map<String, String> given) {
        Schema schema = new Schema();
        new TransactionSchema(LONGEST, LONGEST, new Declarations(Map.of(), LONGEST, LONGEST), LONGEST)
                .schema()
                .all()
                .forEach(a -> schema.add(a.name(), a.type(), a.optional(), a.longest()));
        new MemberSchema().schema().all().forEach(a -> schema.add(a.name(), a.type(), a.optional(), a.longest()));
        given.forEach((name, value) -> {
            if (schema.get(name) == null) {
                schema.add(
                        name,
                        value.matches("-?[0-9]+")
                                ? Type.INTEGER
                                : value.matches("-?[0-9]+\\.[0-9]+")
                                        ? Type.DECIMAL
                                        : value.equals("true") || value.equals("false") ? Type.BOOLEAN : Type.STRING,
                        true,
                        LONGEST);
            }
        });
        return schema;
    }

    private static void set(Frame frame, Attribute a, String text) {
        Network address = a.type() == Type.ADDRESS ? Network.parse(text) : null;
        if (address != null) {
            frame.set(a, address.high(), address.low());
            return;
        }
        Declarations one = new Declarations(Map.of(a.name(), new Declarations.Figure(a.type(), a.longest())), 1, 1);
        Object value = a.type() == Type.ADDRESS ? null : one.read(a.name(), text);
        if (value instanceof String s) {
            frame.set(a, s);
        } else if (value instanceof Long l) {
            frame.set(a, (long) l);
        } else if (value instanceof Double d) {
            frame.set(a, (double) d);
        } else if (value instanceof Boolean b) {
            frame.set(a, (boolean) b);
        } else {
            throw new MalformedInputException(text + " is not what " + a.name() + " can be: " + a.type()
                    + (a.type() == Type.STRING ? " of at most " + a.longest() + " characters" : ""));
        }
    }
}
