package tulipshed.expression;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;

/** The definitions of a file by name. */
final class DefinitionTable {
    private static final String ELSE = "else"; // of cond

    private final Schema schema;
    private final Map<String, Definition> byName = new LinkedHashMap<>();

    /** Creates an empty table; the names of the schema's attributes cannot be defined. */
    DefinitionTable(Schema schema) {
        this.schema = schema;
    }

    /** Adds a definition; one that is malformed, reserved or repeated is reported. */
    void add(Form.Sequence form, Diagnostics diagnostics) {
        Definition definition = Definition.read(form, diagnostics);
        if (definition == null) {
            return;
        }
        String name = definition.name();
        if (isReserved(name)) {
            diagnostics.add(definition.place(), name + " has a meaning already");
        } else if (byName.putIfAbsent(name, definition) != null) {
            diagnostics.add(
                    definition.place(),
                    name + " is defined already at " + byName.get(name).place());
        }
    }

    /** Returns the definition of that name, or null. */
    Definition get(String name) {
        return byName.get(name);
    }

    /** Returns the names, in the order added. */
    Collection<String> names() {
        return List.copyOf(byName.keySet());
    }

    private boolean isReserved(String name) {
        return BuiltinFunctions.contains(name)
                || schema.get(name) != null
                || TypeInference.isBooleanLiteral(name)
                || name.equals(ELSE);
    }
}
