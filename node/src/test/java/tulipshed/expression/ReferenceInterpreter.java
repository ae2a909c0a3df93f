package tulipshed.expression;

import com.dynatrace.hash4j.consistent.ConsistentHashing;
import com.dynatrace.hash4j.hashing.Hashing;
import com.dynatrace.hash4j.random.PseudoRandomGeneratorProvider;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import tulipshed.sexpr.Form;

/**
 * A tree-walking interpreter over boxed values: slow, plain, and without a line in common with the compiled form. The
 * attributes hold no value for those that are missing.
 */
final class ReferenceInterpreter {
    /** The functions that do not evaluate all of their arguments first. */
    private static final Set<String> LAZY =
            Set.of("and", "or", "if", "cond", "let", "default", "present", "in", "in-network");

    private final Map<String, Form> definitions;
    private final Map<String, List<String>> parameters;
    private final Map<String, Object> attributes;

    ReferenceInterpreter(
            Map<String, Form> definitions, Map<String, List<String>> parameters, Map<String, Object> attributes) {
        this.definitions = definitions;
        this.parameters = parameters;
        this.attributes = attributes;
    }

    Object value(Form form) {
        return value(form, Map.of());
    }

    private Object value(Form form, Map<String, Object> scope) {
        if (form instanceof Form.IntegerLiteral integer) {
            return integer.value();
        } else if (form instanceof Form.DecimalLiteral decimal) {
            return decimal.value();
        } else if (form instanceof Form.StringLiteral string) {
            return string.value();
        } else if (form instanceof Form.Symbol word) {
            return named(word.name(), scope);
        }
        List<Form> items = ((Form.Sequence) form).items();
        String name = ((Form.Sequence) form).head();
        if (parameters.containsKey(name)) {
            return definitionCall(name, items, scope);
        }
        if (LAZY.contains(name)) {
            return lazyCall(name, items, scope);
        }
        Object[] arguments = new Object[items.size() - 1];
        for (int i = 0; i < arguments.length; i++) {
            arguments[i] = value(items.get(i + 1), scope);
        }
        return eagerCall(name, arguments);
    }

    private Object named(String name, Map<String, Object> scope) {
        if (name.equals("true") || name.equals("false")) {
            return name.equals("true");
        }
        if (scope.containsKey(name)) {
            return scope.get(name);
        }
        return definitions.containsKey(name) ? value(definitions.get(name), Map.of()) : attributes.get(name);
    }

    private Object definitionCall(String name, List<Form> items, Map<String, Object> scope) {
        Map<String, Object> inner = new HashMap<>();
        List<String> names = parameters.get(name);
        for (int i = 0; i < names.size(); i++) {
            inner.put(names.get(i), value(items.get(i + 1), scope));
        }
        return value(definitions.get(name), inner);
    }

    private Object lazyCall(String name, List<Form> items, Map<String, Object> scope) {
        List<Form> arguments = items.subList(1, items.size());
        return switch (name) {
            case "and" -> arguments.stream().allMatch(argument -> (Boolean) value(argument, scope));
            case "or" -> arguments.stream().anyMatch(argument -> (Boolean) value(argument, scope));
            case "if" -> conditional(arguments, scope);
            case "cond" -> cond(arguments, scope);
            case "let" -> let(arguments, scope);
            case "default" -> {
                Object value = value(arguments.get(0), scope);
                yield value != null ? value : value(arguments.get(1), scope);
            }
            case "present" -> value(arguments.get(0), scope) != null;
            case "in" ->
                ((Form.Sequence) arguments.get(1))
                        .items().stream()
                                .anyMatch(literal -> equal(value(arguments.get(0), scope), value(literal, scope)));
            default -> throw new IllegalStateException(name);
        };
    }

    private Object conditional(List<Form> arguments, Map<String, Object> scope) {
        Object thenValue = value(arguments.get(1), scope);
        Object elseValue = value(arguments.get(2), scope);
        Object chosen = (Boolean) value(arguments.get(0), scope) ? thenValue : elseValue;
        return thenValue instanceof Double || elseValue instanceof Double
                ? (Object) ((Number) chosen).doubleValue()
                : chosen;
    }

    private Object cond(List<Form> clauses, Map<String, Object> scope) {
        for (Form form : clauses) {
            List<Form> clause = ((Form.Sequence) form).items();
            if ("else".equals(((Form.Sequence) form).head()) || (Boolean) value(clause.get(0), scope)) {
                return value(clause.get(1), scope);
            }
        }
        throw new IllegalStateException("no else");
    }

    private Object let(List<Form> arguments, Map<String, Object> scope) {
        Map<String, Object> inner = new HashMap<>(scope);
        for (Form form : ((Form.Sequence) arguments.get(0)).items()) {
            List<Form> binding = ((Form.Sequence) form).items();
            inner.put(((Form.Symbol) binding.get(0)).name(), value(binding.get(1), scope));
        }
        return value(arguments.get(1), inner);
    }

    private static Object eagerCall(String name, Object[] arguments) {
        return switch (name) {
            case "not" -> !(Boolean) arguments[0];
            case "=" -> equal(arguments[0], arguments[1]);
            case "!=" -> !equal(arguments[0], arguments[1]);
            case "<" -> ReferenceArithmetic.less(arguments[0], arguments[1]);
            case "<=" -> ReferenceArithmetic.atMost(arguments[0], arguments[1]);
            case ">" -> ReferenceArithmetic.less(arguments[1], arguments[0]);
            case ">=" -> ReferenceArithmetic.atMost(arguments[1], arguments[0]);
            case "+", "-", "*", "min", "max" -> ReferenceArithmetic.fold(name, arguments);
            case "/" -> ReferenceArithmetic.divide(arguments);
            case "mod" -> ReferenceArithmetic.modulo(arguments);
            case "decimal" -> (double) (Long) arguments[0];
            case "integer" -> (long) (double) (Double) arguments[0];
            case "string" -> arguments[0].toString();
            default -> stringCall(name, arguments);
        };
    }

    private static Object stringCall(String name, Object[] arguments) {
        String string = (String) arguments[0];
        return switch (name) {
            case "prefix" -> string.startsWith((String) arguments[1]);
            case "suffix" -> string.endsWith((String) arguments[1]);
            case "contains" -> string.contains((String) arguments[1]);
            case "substring" -> {
                int from = (int) Math.max(0, Math.min(string.length(), (Long) arguments[1]));
                yield string.substring(from, (int) Math.max(from, Math.min(string.length(), (Long) arguments[2])));
            }
            case "concat" -> {
                StringBuilder result = new StringBuilder();
                for (Object argument : arguments) {
                    result.append(argument);
                }
                yield result.toString();
            }
            case "lower" -> string.toLowerCase(Locale.ROOT);
            case "length" -> (long) string.length();
            case "matches" ->
                Pattern.compile((String) arguments[1]).matcher(string).find();
            case "hash" -> Hashing.xxh3_64().hashCharsToLong(string);
            case "bucket" ->
                (long) ConsistentHashing.jumpBackHash(PseudoRandomGeneratorProvider.splitMix64_V1())
                        .getBucket(Hashing.xxh3_64().hashCharsToLong(string), (int) (long) (Long) arguments[1]);
            default -> throw new IllegalStateException(name);
        };
    }

    private static boolean equal(Object left, Object right) {
        if (left instanceof Double || right instanceof Double) {
            return ((Number) left).doubleValue() == ((Number) right).doubleValue();
        }
        return left.equals(right);
    }
}
