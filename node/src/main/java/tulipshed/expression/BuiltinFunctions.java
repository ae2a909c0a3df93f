package tulipshed.expression;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The table of built-in functions, by name. Each family of functions is a list of entries of its own. */
public final class BuiltinFunctions {
    private static final Map<String, BuiltinFunction> BY_NAME = new LinkedHashMap<>();

    static {
        for (List<BuiltinFunction> family : List.of(
                LogicFunctions.ENTRIES,
                SpecialForms.ENTRIES,
                ComparisonFunctions.ENTRIES,
                ArithmeticFunctions.ENTRIES,
                ConversionFunctions.ENTRIES,
                MembershipFunctions.ENTRIES,
                StringFunctions.ENTRIES,
                RegexFunctions.ENTRIES,
                NetworkFunctions.ENTRIES,
                HashFunctions.ENTRIES)) {
            family.forEach(function -> BY_NAME.put(function.name(), function));
        }
    }

    private BuiltinFunctions() {}

    /** Returns all names, in the order of the families. */
    public static Collection<String> names() {
        return Collections.unmodifiableSet(BY_NAME.keySet());
    }

    /** Whether there is a function of that name. */
    public static boolean contains(String name) {
        return BY_NAME.containsKey(name);
    }

    /** Returns the function of that name, or null. */
    static BuiltinFunction get(String name) {
        return BY_NAME.get(name);
    }
}
