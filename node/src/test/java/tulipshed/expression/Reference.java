package tulipshed.expression;

import java.math.BigInteger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tulipshed.sexpr.Form;

/**
 * What an expression means, by walking its forms with boxed values: slow, plain, and without a line in common with the
 * compiled form. A missing attribute is absent from the values.
 */
final class Reference {
    private static final BigInteger LEAST = BigInteger.valueOf(Long.MIN_VALUE);
    private static final BigInteger MOST = BigInteger.valueOf(Long.MAX_VALUE);

    private final Map<String, Form> defines;
    private final Map<String, List<String>> parameters;
    private final Map<String, Object> attributes;

    Reference(Map<String, Form> defines, Map<String, List<String>> parameters, Map<String, Object> attributes) {
        this.defines = defines;
        this.parameters = parameters;
        this.attributes = attributes;
    }

    Object value(Form form) {
        return value(form, Map.of());
    }

    private Object value(Form form, Map<String, Object> scope) {
        if (form instanceof Form.Whole w) {
            return w.value();
        } else if (form instanceof Form.Fraction f) {
            return f.value();
        } else if (form instanceof Form.Text t) {
            return t.value();
        } else if (form instanceof Form.Word w) {
            return switch (w.name()) {
                case "true" -> true;
                case "false" -> false;
                default ->
                    scope.containsKey(w.name())
                            ? scope.get(w.name())
                            : defines.containsKey(w.name())
                                    ? value(defines.get(w.name()), Map.of())
                                    : attributes.get(w.name());
            };
        }
        List<Form> items = ((Form.Sequence) form).items();
        String name = ((Form.Sequence) form).head();
        if (parameters.containsKey(name)) {
            Map<String, Object> inner = new HashMap<>();
            for (int i = 0; i < parameters.get(name).size(); i++) {
                inner.put(parameters.get(name).get(i), value(items.get(i + 1), scope));
            }
            return value(defines.get(name), inner);
        }
        Object[] a = new Object[items.size()];
        boolean lazy = List.of("and", "or", "if", "cond", "let", "default", "present", "in", "in-network")
                .contains(name);
        for (int i = 1; i < a.length && !lazy; i++) {
            a[i] = value(items.get(i), scope);
        }
        return switch (name) {
            case "and" -> items.subList(1, items.size()).stream().allMatch(f -> (Boolean) value(f, scope));
            case "or" -> items.subList(1, items.size()).stream().anyMatch(f -> (Boolean) value(f, scope));
            case "not" -> !(Boolean) a[1];
            case "if" -> {
                Object then = value(items.get(2), scope);
                Object otherwise = value(items.get(3), scope);
                Object chosen = (Boolean) value(items.get(1), scope) ? then : otherwise;
                yield then instanceof Double || otherwise instanceof Double
                        ? (Object) ((Number) chosen).doubleValue()
                        : chosen;
            }
            case "cond" -> {
                for (Form f : items.subList(1, items.size())) {
                    List<Form> clause = ((Form.Sequence) f).items();
                    if ("else".equals(((Form.Sequence) f).head()) || (Boolean) value(clause.get(0), scope)) {
                        yield value(clause.get(1), scope);
                    }
                }
                throw new IllegalStateException("no else");
            }
            case "let" -> {
                Map<String, Object> inner = new HashMap<>(scope);
                for (Form f : ((Form.Sequence) items.get(1)).items()) {
                    List<Form> one = ((Form.Sequence) f).items();
                    inner.put(((Form.Word) one.get(0)).name(), value(one.get(1), scope));
                }
                yield value(items.get(2), inner);
            }
            case "default" -> {
                Object v = value(items.get(1), scope);
                yield v != null ? v : value(items.get(2), scope);
            }
            case "present" -> value(items.get(1), scope) != null;
            case "=" -> equal(a[1], a[2]);
            case "!=" -> !equal(a[1], a[2]);
            case "<" -> mixed(a) ? number(a[1]) < number(a[2]) : (Long) a[1] < (Long) a[2];
            case "<=" -> mixed(a) ? number(a[1]) <= number(a[2]) : (Long) a[1] <= (Long) a[2];
            case ">" -> mixed(a) ? number(a[1]) > number(a[2]) : (Long) a[1] > (Long) a[2];
            case ">=" -> mixed(a) ? number(a[1]) >= number(a[2]) : (Long) a[1] >= (Long) a[2];
            case "+", "-", "*", "min", "max" -> {
                Object sum = a[1];
                for (int i = 2; i < a.length; i++) {
                    sum = two(name, sum, a[i]);
                }
                yield sum;
            }
            case "/" -> {
                if (mixed(a)) {
                    yield number(a[2]) != 0 ? (Object) (number(a[1]) / number(a[2])) : (Object) number(a[3]);
                }
                yield (Long) a[2] != 0 ? bounded(big(a[1]).divide(big(a[2]))) : a[3];
            }
            case "mod" -> {
                if ((Long) a[2] == 0) {
                    yield a[3];
                }
                BigInteger m = big(a[1]).mod(big(a[2]).abs());
                yield bounded((Long) a[2] < 0 && m.signum() != 0 ? m.add(big(a[2])) : m);
            }
            case "decimal" -> (double) (Long) a[1];
            case "integer" -> (long) (double) (Double) a[1];
            case "string" -> a[1].toString();
            case "in" ->
                ((Form.Sequence) items.get(2))
                        .items().stream().anyMatch(f -> equal(value(items.get(1), scope), value(f, scope)));
            case "prefix" -> ((String) a[1]).startsWith((String) a[2]);
            case "suffix" -> ((String) a[1]).endsWith((String) a[2]);
            case "contains" -> ((String) a[1]).contains((String) a[2]);
            case "substring" -> {
                String s = (String) a[1];
                int from = (int) Math.max(0, Math.min(s.length(), (Long) a[2]));
                yield s.substring(from, (int) Math.max(from, Math.min(s.length(), (Long) a[3])));
            }
            case "concat" -> {
                String all = "";
                for (int i = 1; i < a.length; i++) {
                    all += a[i];
                }
                yield all;
            }
            case "lower" -> ((String) a[1]).toLowerCase(java.util.Locale.ROOT);
            case "length" -> (long) ((String) a[1]).length();
            case "matches" ->
                java.util.regex.Pattern.compile((String) a[2])
                        .matcher((String) a[1])
                        .find();
            case "hash" -> com.dynatrace.hash4j.hashing.Hashing.xxh3_64().hashCharsToLong((String) a[1]);
            case "bucket" ->
                (long) com.dynatrace.hash4j.consistent.ConsistentHashing.jumpBackHash(
                                com.dynatrace.hash4j.random.PseudoRandomGeneratorProvider.splitMix64_V1())
                        .getBucket(
                                com.dynatrace.hash4j.hashing.Hashing.xxh3_64().hashCharsToLong((String) a[1]),
                                (int) (long) (Long) a[2]);
            default -> throw new IllegalStateException(name);
        };
    }

    private static boolean mixed(Object[] a) {
        return a[1] instanceof Double || a[2] instanceof Double;
    }

    private static boolean equal(Object a, Object b) {
        return (a instanceof Double || b instanceof Double) ? number(a) == number(b) : a.equals(b);
    }

    private static double number(Object o) {
        return ((Number) o).doubleValue();
    }

    private static BigInteger big(Object o) {
        return BigInteger.valueOf((Long) o);
    }

    private static Object bounded(BigInteger b) {
        return b.max(LEAST).min(MOST).longValue();
    }

    private static Object two(String op, Object a, Object b) {
        if (a instanceof Double || b instanceof Double) {
            double x = number(a);
            double y = number(b);
            return switch (op) {
                case "+" -> x + y;
                case "-" -> x - y;
                case "*" -> x * y;
                case "min" -> Math.min(x, y);
                default -> Math.max(x, y);
            };
        }
        return switch (op) {
            case "+" -> bounded(big(a).add(big(b)));
            case "-" -> bounded(big(a).subtract(big(b)));
            case "*" -> bounded(big(a).multiply(big(b)));
            case "min" -> bounded(big(a).min(big(b)));
            default -> bounded(big(a).max(big(b)));
        };
    }
}
