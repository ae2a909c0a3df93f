package tulipshed.expression;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Random expressions as text, of a wanted type or of none in particular, and random values for their attributes. */
final class RandomExpressions {
    static final int LONGEST = 24;
    private static final String[] WORDS = {
        "", "a", "gate", "gate-7", "melnik", "Usti", "slot-board", "decin/berth/12", "aa", "aab"
    };
    private static final String[] PATTERNS = {"^gate-[0-9]+$", "a+b", "(usti|melnik)", "^$", "[^/]*/berth"};

    private final Random random;
    private final List<String> locals = new ArrayList<>();
    private int names;

    RandomExpressions(long seed) {
        random = new Random(seed);
    }

    static Schema schema() {
        Schema s = new Schema();
        s.add("class", Type.STRING, false, LONGEST);
        s.add("tenant", Type.STRING, true, LONGEST);
        s.add("group", Type.STRING, true, LONGEST);
        s.add("deadline", Type.INTEGER, false, 0);
        s.add("size", Type.INTEGER, true, 0);
        s.add("hint", Type.DECIMAL, false, 0);
        s.add("load", Type.DECIMAL, true, 0);
        s.add("retry", Type.BOOLEAN, false, 0);
        s.add("again", Type.BOOLEAN, true, 0);
        return s;
    }

    /** Values for all attributes, some of them missing. */
    Map<String, Object> values(Schema schema) {
        Map<String, Object> values = new LinkedHashMap<>();
        for (Attribute attribute : schema.all()) {
            if (attribute.optional() && random.nextInt(3) == 0) {
                continue;
            }
            values.put(
                    attribute.name(),
                    switch (attribute.type()) {
                        case STRING -> string();
                        case INTEGER -> integer();
                        case DECIMAL -> decimal();
                        default -> random.nextBoolean();
                    });
        }
        return values;
    }

    static void fill(EvaluationFrame frame, Schema schema, Map<String, Object> values) {
        frame.begin();
        values.forEach((name, value) -> {
            Attribute attribute = schema.get(name);
            if (value instanceof String string) {
                frame.set(attribute, string);
            } else if (value instanceof Long integer) {
                frame.set(attribute, (long) integer);
            } else if (value instanceof Double decimal) {
                frame.set(attribute, (double) decimal);
            } else {
                frame.set(attribute, (boolean) (Boolean) value);
            }
        });
    }

    private String string() {
        String s = WORDS[random.nextInt(WORDS.length)];
        return random.nextInt(3) > 0
                ? s
                : (s + WORDS[random.nextInt(WORDS.length)] + (char) ('!' + random.nextInt(90)))
                        .substring(0, Math.min(LONGEST, s.length()));
    }

    private long integer() {
        return switch (random.nextInt(6)) {
            case 0 -> random.nextLong();
            case 1 -> random.nextBoolean() ? Long.MIN_VALUE : Long.MAX_VALUE;
            default -> random.nextInt(9) - 4;
        };
    }

    private double decimal() {
        return random.nextInt(5) == 0 ? random.nextInt(100000) * 1e13 : (random.nextInt(9) - 4) / 2.0;
    }

    private static String decimalText(double value) {
        return new BigDecimal(value).setScale(3, RoundingMode.HALF_UP).toPlainString();
    }

    private static String quote(String s) {
        return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private String one(String... of) {
        return of[random.nextInt(of.length)];
    }

    /** A well-typed expression. */
    String typed(Type type, int depth) {
        if (depth <= 0 || random.nextInt(6) == 0) {
            return leaf(type);
        }
        int operandDepth = depth - 1;
        switch (random.nextInt(10)) {
            case 0:
                return "(if " + typed(Type.BOOLEAN, operandDepth) + " " + typed(type, operandDepth) + " "
                        + typed(type, operandDepth) + ")";
            case 1:
                return "(cond (" + typed(Type.BOOLEAN, operandDepth) + " " + typed(type, operandDepth) + ") ("
                        + typed(Type.BOOLEAN, operandDepth) + " " + typed(type, operandDepth) + ") (else "
                        + typed(type, operandDepth) + "))";
            case 2:
                Type bound = Type.values()[random.nextInt(4)];
                String name = "v" + names++;
                String value = typed(bound, operandDepth);
                locals.add(name + ":" + bound);
                String body = typed(type, operandDepth);
                locals.remove(name + ":" + bound);
                return "(let ((" + name + " " + value + ")) " + body + ")";
            default:
                return switch (type) {
                    case BOOLEAN -> booleanCall(operandDepth);
                    case INTEGER -> integerCall(operandDepth);
                    case DECIMAL ->
                        random.nextInt(4) == 0
                                ? "(decimal " + typed(Type.INTEGER, operandDepth) + ")"
                                : arithmetic(Type.DECIMAL, operandDepth);
                    default -> stringCall(operandDepth);
                };
        }
    }

    private String booleanCall(int depth) {
        return switch (random.nextInt(9)) {
            case 0 ->
                "(and " + typed(Type.BOOLEAN, depth) + " " + typed(Type.BOOLEAN, depth) + " "
                        + typed(Type.BOOLEAN, depth) + ")";
            case 1 -> "(or " + typed(Type.BOOLEAN, depth) + " " + typed(Type.BOOLEAN, depth) + ")";
            case 2 -> "(not " + typed(Type.BOOLEAN, depth) + ")";
            case 3 -> {
                Type t = Type.values()[random.nextInt(4)];
                yield "(" + one("=", "!=") + " " + typed(t, depth) + " " + typed(t, depth) + ")";
            }
            case 4 -> {
                Type t = random.nextBoolean() ? Type.INTEGER : Type.DECIMAL;
                yield "(" + one("<", "<=", ">", ">=") + " " + typed(t, depth) + " " + typed(t, depth) + ")";
            }
            case 5 ->
                "(" + one("prefix", "suffix", "contains") + " " + typed(Type.STRING, depth) + " "
                        + typed(Type.STRING, depth) + ")";
            case 6 ->
                "(matches " + typed(Type.STRING, depth) + " " + quote(PATTERNS[random.nextInt(PATTERNS.length)]) + ")";
            case 7 -> "(present " + one("tenant", "group", "size", "load", "again") + ")";
            default -> {
                Type t = Type.values()[random.nextInt(4)];
                yield "(in " + typed(t, depth) + " [" + literal(t) + " " + literal(t) + " " + literal(t) + "])";
            }
        };
    }

    private String integerCall(int depth) {
        return switch (random.nextInt(5)) {
            case 0 -> "(length " + typed(Type.STRING, depth) + ")";
            case 1 -> "(integer " + typed(Type.DECIMAL, depth) + ")";
            case 2 ->
                random.nextBoolean()
                        ? "(hash " + typed(Type.STRING, depth) + ")"
                        : "(bucket " + typed(Type.STRING, depth) + " " + (1 + random.nextInt(100)) + ")";
            default -> arithmetic(Type.INTEGER, depth);
        };
    }

    private String arithmetic(Type t, int depth) {
        String a = typed(t, depth);
        String b = typed(t, depth);
        return switch (random.nextInt(5)) {
            case 0 -> "(- " + a + " " + b + ")";
            case 1 ->
                "(" + (t == Type.INTEGER ? one("/", "mod") : "/") + " " + a + " " + b + " " + typed(t, depth) + ")";
            case 2 -> "(" + one("min", "max") + " " + a + " " + b + ")";
            default ->
                "(" + one("+", "*") + " " + a + " " + b + (random.nextInt(3) == 0 ? " " + typed(t, depth) : "") + ")";
        };
    }

    private String stringCall(int depth) {
        return switch (random.nextInt(4)) {
            case 0 -> "(concat " + typed(Type.STRING, depth) + " " + typed(Type.STRING, depth) + ")";
            case 1 -> "(lower " + typed(Type.STRING, depth) + ")";
            case 2 -> "(string " + typed(Type.INTEGER, depth) + ")";
            default ->
                "(substring " + typed(Type.STRING, depth) + " " + typed(Type.INTEGER, depth) + " "
                        + typed(Type.INTEGER, depth) + ")";
        };
    }

    private String leaf(Type type) {
        List<String> own = locals.stream()
                .filter(l -> l.endsWith(":" + type))
                .map(l -> l.substring(0, l.indexOf(':')))
                .toList();
        if (!own.isEmpty() && random.nextInt(2) == 0) {
            return own.get(random.nextInt(own.size()));
        }
        if (random.nextInt(2) == 0) {
            return literal(type);
        }
        boolean optional = random.nextBoolean();
        return switch (type) {
            case BOOLEAN -> optional ? "(default again " + literal(type) + ")" : "retry";
            case INTEGER -> optional ? "(default size " + literal(type) + ")" : "deadline";
            case DECIMAL -> optional ? "(default load " + literal(type) + ")" : "hint";
            default -> optional ? "(default " + one("tenant", "group") + " " + literal(type) + ")" : "class";
        };
    }

    private String literal(Type type) {
        return switch (type) {
            case BOOLEAN -> random.nextBoolean() ? "true" : "false";
            case INTEGER -> String.valueOf(integer());
            case DECIMAL -> decimalText(decimal());
            default -> quote(string());
        };
    }

    /** Something that looks like an expression and mostly is none. */
    String untyped(int depth) {
        if (depth == 0 || random.nextInt(4) == 0) {
            return random.nextInt(5) == 0
                    ? one("tenant", "group", "nothing", "clas", "-", "[]", "[1 2]", "()")
                    : leaf(Type.values()[random.nextInt(4)]);
        }
        List<String> names = new ArrayList<>(BuiltinFunctions.names());
        StringBuilder out = new StringBuilder("(" + names.get(random.nextInt(names.size())));
        for (int i = random.nextInt(4); i >= 0; i--) {
            out.append(' ')
                    .append(random.nextInt(4) == 0 ? typed(Type.values()[random.nextInt(4)], 1) : untyped(depth - 1));
        }
        return out.append(')').toString();
    }
}
