package tulipshed.expression;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.SourcePosition;

/** Checks the use of each function and makes its expression. */
final class Functions {
    private static final int MOST_LITERALS = 20_000; // in one list
    private static final int MOST_PARTS = 1000; // of and, or
    private static final int LONGEST_NUMBER = 20; // characters, with its sign

    private final TypeChecker checker;
    private final ExpressionInterner terms;
    private final StringFunctions texts;

    Functions(TypeChecker checker, ExpressionInterner terms) {
        this.checker = checker;
        this.terms = terms;
        texts = new StringFunctions(this, checker, terms);
    }

    Expression check(Form.Sequence s) {
        List<Form> args = s.items().subList(1, s.items().size());
        return switch (s.head()) {
            case "and", "or" ->
                logic(s, s.head().equals("and") ? Operator.AND : Operator.OR, args, 1, Integer.MAX_VALUE);
            case "not" -> logic(s, Operator.NOT, args, 1, 1);
            case "if" -> choice(s, args);
            case "cond" -> cond(s, args);
            case "let" -> let(s, args);
            case "default" -> otherwise(s, args);
            case "present" -> present(s, args);
            case "=", "!=" -> equal(s, args);
            case "<", "<=", ">", ">=" -> order(s, args);
            case "+" -> arithmetic(s, Operator.ADD, args);
            case "-" -> args.size() == 2 ? arithmetic(s, Operator.SUBTRACT, args) : shape(s);
            case "*" -> arithmetic(s, Operator.MULTIPLY, args);
            case "min" -> arithmetic(s, Operator.LEAST, args);
            case "max" -> arithmetic(s, Operator.MOST, args);
            case "/", "mod" -> divide(s, args);
            case "decimal" -> convert(s, args, Type.INTEGER, Operator.TO_DECIMAL, Type.DECIMAL);
            case "integer" -> convert(s, args, Type.DECIMAL, Operator.TO_INTEGER, Type.INTEGER);
            case "string" -> convert(s, args, Type.INTEGER, Operator.TO_STRING, Type.STRING);
            case "length" -> convert(s, args, Type.STRING, Operator.LENGTH, Type.INTEGER);
            case "hash" -> convert(s, args, Type.STRING, Operator.HASH, Type.INTEGER);
            case "lower" -> convert(s, args, Type.STRING, Operator.LOWER, Type.STRING);
            case "in" -> in(s, args);
            case "prefix" -> texts.part(s, Operator.PREFIX, args);
            case "suffix" -> texts.part(s, Operator.SUFFIX, args);
            case "contains" -> texts.part(s, Operator.CONTAINS, args);
            case "substring" -> texts.substring(s, args);
            case "concat" -> texts.concat(s, args);
            case "matches" -> texts.matches(s, args);
            case "in-network" -> inNetwork(s, args);
            case "bucket" -> texts.bucket(s, args);
            default -> throw new IllegalStateException(s.head());
        };
    }

    /** Wrong number or kind of parts: says how it is written. */
    Expression shape(Form.Sequence s) {
        return checker.wrong(
                s.place(),
                "expected " + Builtins.form(s.head()) + ", found " + (s.items().size() - 1) + " arguments");
    }

    /** A part that must be of one type. */
    Expression typed(Form f, Type type) {
        Expression e = checker.convert(checker.value(f), type);
        return e.unknown() || e.type == type
                ? e
                : checker.wrong(
                        f.place(),
                        "expected " + TypeChecker.article(type) + ", found " + TypeChecker.article(e.type) + ": " + e);
    }

    static boolean unknown(Expression... parts) {
        for (Expression e : parts) {
            if (e.unknown()) {
                return true;
            }
        }
        return false;
    }

    private Expression logic(Form.Sequence s, Operator op, List<Form> args, int least, int most) {
        if (args.size() < least || args.size() > most) {
            return shape(s);
        }
        if (args.size() > MOST_PARTS) {
            return checker.wrong(
                    s.place(),
                    "more than " + MOST_PARTS + " parts: literals belong in (in X [...]), the rest in rules");
        }
        Expression[] parts = args.stream().map(f -> typed(f, Type.BOOLEAN)).toArray(Expression[]::new);
        return unknown(parts) ? terms.unknown(s.place()) : terms.make(op, Type.BOOLEAN, s.place(), parts);
    }

    private Expression choice(Form.Sequence s, List<Form> args) {
        if (args.size() != 3) {
            return shape(s);
        }
        return choose(
                s.place(), typed(args.get(0), Type.BOOLEAN), checker.value(args.get(1)), checker.value(args.get(2)));
    }

    private Expression choose(SourcePosition place, Expression test, Expression then, Expression otherwise) {
        Expression a = checker.convert(then, otherwise.type);
        Expression b = checker.convert(otherwise, then.type);
        if (unknown(test, a, b)) {
            return terms.unknown(place);
        }
        if (a.type != b.type || a.type == Type.ADDRESS) {
            return checker.wrong(
                    place,
                    a.type == Type.ADDRESS
                            ? "an address can only be compared or looked for in networks"
                            : "the two values are of different types: " + TypeChecker.article(a.type) + ", "
                                    + TypeChecker.article(b.type));
        }
        return terms.make(Operator.IF, a.type, null, Math.max(a.longest, b.longest), place, test, a, b);
    }

    private Expression cond(Form.Sequence s, List<Form> args) {
        List<Form.Sequence> clauses = new ArrayList<>();
        for (Form f : args) {
            if (!(f instanceof Form.Sequence c) || c.square() || c.items().size() != 2) {
                return checker.wrong(f.place(), "expected (BOOLEAN VALUE) or (else VALUE), found " + f.describe());
            }
            clauses.add(c);
        }
        if (clauses.isEmpty() || !"else".equals(clauses.get(clauses.size() - 1).head())) {
            return checker.wrong(s.place(), "expected (else VALUE) as the last clause");
        }
        if (clauses.size() > 200) {
            return checker.wrong(s.place(), "more than 200 clauses: write them as rules");
        }
        Expression value = checker.value(clauses.get(clauses.size() - 1).items().get(1));
        for (int i = clauses.size() - 2; i >= 0; i--) {
            Form.Sequence c = clauses.get(i);
            Expression test = typed(c.items().get(0), Type.BOOLEAN);
            value = choose(c.place(), test, checker.value(c.items().get(1)), value);
        }
        return value;
    }

    private Expression let(Form.Sequence s, List<Form> args) {
        if (args.size() != 2 || !(args.get(0) instanceof Form.Sequence names) || names.square()) {
            return shape(s);
        }
        Map<String, Expression> scope = new HashMap<>();
        for (Form f : names.items()) {
            if (!(f instanceof Form.Sequence one) || one.items().size() != 2 || one.head() == null) {
                return checker.wrong(f.place(), "expected (NAME VALUE), found " + f.describe());
            }
            if (scope.put(one.head(), checker.value(one.items().get(1))) != null) {
                return checker.wrong(f.place(), one.head() + " stands twice");
            }
        }
        return checker.within(scope, args.get(1));
    }

    private Expression otherwise(Form.Sequence s, List<Form> args) {
        if (args.size() != 2) {
            return shape(s);
        }
        Expression a = checker.check(args.get(0));
        Expression b = checker.convert(checker.value(args.get(1)), a.type);
        if (unknown(a, b)) {
            return terms.unknown(s.place());
        }
        if (!a.optional) {
            return checker.wrong(s.place(), a + " is never missing and needs no default");
        }
        if (a.type != b.type || a.type == Type.ADDRESS) {
            return checker.wrong(
                    args.get(1).place(),
                    "expected " + TypeChecker.article(a.type) + ", found " + TypeChecker.article(b.type));
        }
        return terms.make(Operator.DEFAULT, a.type, null, Math.max(a.longest, b.longest), s.place(), a, b);
    }

    private Expression present(Form.Sequence s, List<Form> args) {
        if (args.size() != 1) {
            return shape(s);
        }
        Expression e = checker.check(args.get(0));
        if (e.unknown()) {
            return e;
        }
        return e.op == Operator.ATTRIBUTE && e.optional
                ? terms.present((Attribute) e.literal, s.place())
                : checker.wrong(args.get(0).place(), "expected an attribute that may be missing, found " + e);
    }

    private Expression equal(Form.Sequence s, List<Form> args) {
        if (args.size() != 2) {
            return shape(s);
        }
        Expression first = checker.value(args.get(0));
        Expression second = checker.value(args.get(1));
        Expression a = checker.convert(first, second.type);
        Expression b = checker.convert(second, first.type);
        if (unknown(a, b)) {
            return terms.unknown(s.place());
        }
        if (a.type != b.type) {
            return checker.wrong(
                    s.place(),
                    "only values of one type can be equal: " + TypeChecker.article(a.type) + ", "
                            + TypeChecker.article(b.type));
        }
        Expression same = terms.make(Operator.EQUAL, Type.BOOLEAN, s.place(), a, b);
        return s.head().equals("=") ? same : terms.make(Operator.NOT, Type.BOOLEAN, s.place(), same);
    }

    /** Two numbers of one type, or null where they are not; what is wrong has been said. */
    private Expression[] numbers(Form.Sequence s, Form left, Form right) {
        return numbers(s, checker.value(left), checker.value(right));
    }

    private Expression[] numbers(Form.Sequence s, Expression left, Expression right) {
        Expression a = checker.convert(left, right.type);
        Expression b = checker.convert(right, left.type);
        if (unknown(a, b)) {
            return null;
        }
        if (a.type != b.type || !a.type.number()) {
            checker.wrong(
                    s.place(),
                    "expected two integers or two decimals, found " + TypeChecker.article(a.type) + " and "
                            + TypeChecker.article(b.type)
                            + (a.type.number() && b.type.number() ? "; (decimal X) makes an integer one" : ""));
            return null;
        }
        return new Expression[] {a, b};
    }

    private Expression order(Form.Sequence s, List<Form> args) {
        if (args.size() != 2) {
            return shape(s);
        }
        Expression[] n = numbers(s, args.get(0), args.get(1));
        if (n == null) {
            return terms.unknown(s.place());
        }
        boolean swapped = s.head().startsWith(">");
        Operator op = s.head().endsWith("=") ? Operator.AT_MOST : Operator.LESS;
        return swapped
                ? terms.make(op, Type.BOOLEAN, s.place(), n[1], n[0])
                : terms.make(op, Type.BOOLEAN, s.place(), n[0], n[1]);
    }

    private Expression arithmetic(Form.Sequence s, Operator op, List<Form> args) {
        if (args.size() < 2) {
            return shape(s);
        }
        if (args.size() > 100) {
            return checker.wrong(s.place(), "more than 100 arguments");
        }
        Expression sum = checker.value(args.get(0));
        for (Form f : args.subList(1, args.size())) {
            Expression[] n = numbers(s, sum, checker.value(f));
            if (n == null) {
                return terms.unknown(s.place());
            }
            sum = terms.make(op, n[0].type, s.place(), n);
        }
        return sum;
    }

    private Expression divide(Form.Sequence s, List<Form> args) {
        boolean modulo = s.head().equals("mod");
        if (args.size() != 2 && args.size() != 3) {
            return shape(s);
        }
        Expression[] n = numbers(s, args.get(0), args.get(1));
        if (n == null) {
            return terms.unknown(s.place());
        }
        if (modulo && n[0].type != Type.INTEGER) {
            return checker.wrong(s.place(), "expected two integers, found decimals");
        }
        Expression zero = terms.literal(n[0].type == Type.INTEGER ? (Object) 0L : (Object) 0.0, s.place());
        Expression otherwise = args.size() == 3 ? typed(args.get(2), n[0].type) : zero;
        if (otherwise.unknown()) {
            return otherwise;
        }
        if (args.size() == 2 && (!n[1].isLiteral() || n[1] == zero)) {
            return checker.wrong(
                    args.get(1).place(), "the divisor may be 0: say what holds then, (" + s.head() + " A B ELSE)");
        }
        return terms.make(modulo ? Operator.MODULO : Operator.DIVIDE, n[0].type, s.place(), n[0], n[1], otherwise);
    }

    private Expression convert(Form.Sequence s, List<Form> args, Type from, Operator op, Type to) {
        if (args.size() != 1) {
            return shape(s);
        }
        // A literal of the other type is no mistake here: (decimal 2) and (integer 2.5) are what they say.
        Expression a = typed(args.get(0), from);
        return a.unknown()
                ? a
                : terms.make(
                        op,
                        to,
                        null,
                        op == Operator.LOWER ? a.longest : op == Operator.TO_STRING ? LONGEST_NUMBER : 0,
                        s.place(),
                        a);
    }

    private Expression in(Form.Sequence s, List<Form> args) {
        if (args.size() != 2 || !(args.get(1) instanceof Form.Sequence list) || !list.square()) {
            return shape(s);
        }
        Expression a = checker.value(args.get(0));
        if (list.items().size() > MOST_LITERALS) {
            return checker.wrong(list.place(), "more than " + MOST_LITERALS + " literals");
        }
        Set<Object> values = new LinkedHashSet<>();
        boolean sound = !a.unknown();
        for (Form f : list.items()) {
            Expression e = checker.convert(checker.value(f), a.type);
            if (e.unknown() || a.unknown()) {
                sound = false;
            } else if (!e.isLiteral() || e.type != a.type) {
                checker.wrong(
                        f.place(), "expected " + TypeChecker.article(a.type) + " as it is, found " + f.describe());
                sound = false;
            } else {
                values.add(e.literal);
            }
        }
        if (!sound) {
            return terms.unknown(s.place());
        }
        if (a.type == Type.ADDRESS) {
            return checker.wrong(args.get(0).place(), "an address is looked for with in-network");
        }
        return values.isEmpty()
                ? terms.literal(false, s.place())
                : terms.make(Operator.IN, Type.BOOLEAN, new LiteralSet(a.type, List.copyOf(values)), 0, s.place(), a);
    }

    private Expression inNetwork(Form.Sequence s, List<Form> args) {
        if (args.size() != 2) {
            return shape(s);
        }
        Expression a = typed(args.get(0), Type.ADDRESS);
        List<Network> list = new ArrayList<>();
        boolean sound = !a.unknown();
        for (Form f : args.get(1) instanceof Form.Sequence l && l.square() ? l.items() : List.of(args.get(1))) {
            Network n = f instanceof Form.Text t ? Network.parse(t.value()) : null;
            if (n == null) {
                checker.wrong(
                        f.place(), "expected a network such as \"10.0.0.0/8\" or \"fd00::/8\", found " + f.describe());
                sound = false;
            }
            list.add(n);
        }
        return sound
                ? terms.make(Operator.IN_NETWORK, Type.BOOLEAN, new Networks(list), 0, s.place(), a)
                : terms.unknown(s.place());
    }
}
