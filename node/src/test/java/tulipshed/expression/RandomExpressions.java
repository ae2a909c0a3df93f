package tulipshed.expression;

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
        for (Attribute a : schema.all()) {
            if (a.optional() && random.nextInt(3) == 0) {
                continue;
            }
            values.put(
                    a.name(),
                    switch (a.type()) {
                        case STRING -> text();
                        case INTEGER -> whole();
                        case DECIMAL -> fraction();
                        default -> random.nextBoolean();
                    });
        }
        return values;
    }

    static void fill(EvaluationFrame f, Schema schema, Map<String, Object> values) {
        f.begin();
        values.forEach((name, v) -> {
            Attribute a = schema.get(name);
            if (v instanceof String s) {
                f.set(a, s);
            } else if (v instanceof Long l) {
                f.set(a, (long) l);
            } else if (v instanceof Double d) {
                f.set(a, (double) d);
            } else {
                f.set(a, (boolean) (Boolean) v);
            }
        });
    }

    private String text() {
        String s = WORDS[random.nextInt(WORDS.length)];
        return random.nextInt(3) > 0
                ? s
                : (s + WORDS[random.nextInt(WORDS.length)] + (char) ('!' + random.nextInt(90)))
                        .substring(0, Math.min(LONGEST, s.length()));
    }

    private long whole() {
        return switch (random.nextInt(6)) {
            case 0 -> random.nextLong();
            case 1 -> random.nextBoolean() ? Long.MIN_VALUE : Long.MAX_VALUE;
            default -> random.nextInt(9) - 4;
        };
    }

    private double fraction() {
        return random.nextInt(5) == 0 ? random.nextInt(100000) * 1e13 : (random.nextInt(9) - 4) / 2.0;
    }

    private static String decimal(double d) {
        return new java.math.BigDecimal(d)
                .setScale(3, java.math.RoundingMode.HALF_UP)
                .toPlainString();
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
        int d = depth - 1;
        switch (random.nextInt(10)) {
            case 0:
                return "(if " + typed(Type.BOOLEAN, d) + " " + typed(type, d) + " " + typed(type, d) + ")";
            case 1:
                return "(cond (" + typed(Type.BOOLEAN, d) + " " + typed(type, d) + ") (" + typed(Type.BOOLEAN, d) + " "
                        + typed(type, d) + ") (else " + typed(type, d) + "))";
            case 2:
                Type bound = Type.values()[random.nextInt(4)];
                String name = "v" + names++;
                String value = typed(bound, d);
                locals.add(name + ":" + bound);
                String body = typed(type, d);
                locals.remove(name + ":" + bound);
                return "(let ((" + name + " " + value + ")) " + body + ")";
            default:
                return switch (type) {
                    case BOOLEAN -> truth(d);
                    case INTEGER -> number(d);
                    case DECIMAL ->
                        random.nextInt(4) == 0
                                ? "(decimal " + typed(Type.INTEGER, d) + ")"
                                : arithmetic(Type.DECIMAL, d);
                    default -> string(d);
                };
        }
    }

    private String truth(int d) {
        return switch (random.nextInt(9)) {
            case 0 ->
                "(and " + typed(Type.BOOLEAN, d) + " " + typed(Type.BOOLEAN, d) + " " + typed(Type.BOOLEAN, d) + ")";
            case 1 -> "(or " + typed(Type.BOOLEAN, d) + " " + typed(Type.BOOLEAN, d) + ")";
            case 2 -> "(not " + typed(Type.BOOLEAN, d) + ")";
            case 3 -> {
                Type t = Type.values()[random.nextInt(4)];
                yield "(" + one("=", "!=") + " " + typed(t, d) + " " + typed(t, d) + ")";
            }
            case 4 -> {
                Type t = random.nextBoolean() ? Type.INTEGER : Type.DECIMAL;
                yield "(" + one("<", "<=", ">", ">=") + " " + typed(t, d) + " " + typed(t, d) + ")";
            }
            case 5 ->
                "(" + one("prefix", "suffix", "contains") + " " + typed(Type.STRING, d) + " " + typed(Type.STRING, d)
                        + ")";
            case 6 ->
                "(matches " + typed(Type.STRING, d) + " " + quote(PATTERNS[random.nextInt(PATTERNS.length)]) + ")";
            case 7 -> "(present " + one("tenant", "group", "size", "load", "again") + ")";
            default -> {
                Type t = Type.values()[random.nextInt(4)];
                yield "(in " + typed(t, d) + " [" + literal(t) + " " + literal(t) + " " + literal(t) + "])";
            }
        };
    }

    private String number(int d) {
        return switch (random.nextInt(5)) {
            case 0 -> "(length " + typed(Type.STRING, d) + ")";
            case 1 -> "(integer " + typed(Type.DECIMAL, d) + ")";
            case 2 ->
                random.nextBoolean()
                        ? "(hash " + typed(Type.STRING, d) + ")"
                        : "(bucket " + typed(Type.STRING, d) + " " + (1 + random.nextInt(100)) + ")";
            default -> arithmetic(Type.INTEGER, d);
        };
    }

    private String arithmetic(Type t, int d) {
        String a = typed(t, d);
        String b = typed(t, d);
        return switch (random.nextInt(5)) {
            case 0 -> "(- " + a + " " + b + ")";
            case 1 -> "(" + (t == Type.INTEGER ? one("/", "mod") : "/") + " " + a + " " + b + " " + typed(t, d) + ")";
            case 2 -> "(" + one("min", "max") + " " + a + " " + b + ")";
            default ->
                "(" + one("+", "*") + " " + a + " " + b + (random.nextInt(3) == 0 ? " " + typed(t, d) : "") + ")";
        };
    }

    private String string(int d) {
        return switch (random.nextInt(4)) {
            case 0 -> "(concat " + typed(Type.STRING, d) + " " + typed(Type.STRING, d) + ")";
            case 1 -> "(lower " + typed(Type.STRING, d) + ")";
            case 2 -> "(string " + typed(Type.INTEGER, d) + ")";
            default ->
                "(substring " + typed(Type.STRING, d) + " " + typed(Type.INTEGER, d) + " " + typed(Type.INTEGER, d)
                        + ")";
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
            case INTEGER -> String.valueOf(whole());
            case DECIMAL -> decimal(fraction());
            default -> quote(text());
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
