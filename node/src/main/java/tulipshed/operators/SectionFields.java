package tulipshed.operators;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NodeConfig;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.NameSuggestions;
import tulipshed.sexpr.SourcePosition;

/**
 * The named fields of a section, each {@code (NAME VALUE ...)}. Unknown, repeated and missing fields, and values of the
 * wrong kind, are reported.
 */
final class SectionFields {
    private final Form.Sequence section;
    private final Diagnostics diagnostics;
    private final Map<String, Form.Sequence> byName = new LinkedHashMap<>();

    /** Reads the fields of a section, starting at the item with index {@code firstField}. */
    SectionFields(Form.Sequence section, int firstField, Set<String> allowed, Diagnostics diagnostics) {
        this.section = section;
        this.diagnostics = diagnostics;
        List<Form> items = section.items();
        for (Form item : items.subList(Math.min(firstField, items.size()), items.size())) {
            add(item, allowed);
        }
    }

    private void add(Form item, Set<String> allowed) {
        String allowedNames = "expected one of " + String.join(", ", allowed);
        if (!(item instanceof Form.Sequence field) || field.head() == null) {
            diagnostics.add(item.place(), allowedNames + " in brackets, found " + item.describe());
            return;
        }
        String name = field.head();
        if (!allowed.contains(name)) {
            diagnostics.add(field.place(), allowedNames + ", found " + name + NameSuggestions.hint(name, allowed));
        } else if (byName.putIfAbsent(name, field) != null) {
            diagnostics.add(
                    field.place(),
                    name + " is given twice; the first is at "
                            + byName.get(name).place());
        }
    }

    /** Returns all fields of a section with the given name. */
    static List<Form.Sequence> repeated(Form.Sequence section, String name) {
        List<Form.Sequence> fields = new ArrayList<>();
        for (Form item : section.items()) {
            if (item instanceof Form.Sequence field && name.equals(field.head())) {
                fields.add(field);
            }
        }
        return fields;
    }

    /** Returns a copy of a section without the fields with the given name. */
    static Form.Sequence without(Form.Sequence section, String name) {
        List<Form> others = new ArrayList<>();
        for (Form item : section.items()) {
            if (!(item instanceof Form.Sequence field) || !name.equals(field.head())) {
                others.add(item);
            }
        }
        return new Form.Sequence(others, false, section.place());
    }

    boolean has(String name) {
        return byName.containsKey(name);
    }

    /** Returns the field with the given name, or null. */
    Form.Sequence get(String name) {
        return byName.get(name);
    }

    /** Returns the position of a field, or that of the section if the field is missing. */
    SourcePosition place(String name) {
        return has(name) ? byName.get(name).place() : section.place();
    }

    /** Returns the values of a field; an empty list if the field is missing. */
    List<Form> values(String name) {
        return has(name) ? get(name).items().subList(1, get(name).items().size()) : List.of();
    }

    /** Returns the single value of a field; a missing field or another number of values is reported and yields null. */
    Form value(String name) {
        Form.Sequence field = byName.get(name);
        if (field == null) {
            diagnostics.add(section.place(), "expected (" + name + " ...) in " + section.describe());
            return null;
        }
        int count = field.items().size() - 1;
        if (count != 1) {
            diagnostics.add(field.place(), "expected one value of " + name + ", found " + count);
            return null;
        }
        return field.items().get(1);
    }

    /** Returns the string value of a field; a missing or other value is reported and yields null. */
    String string(String name) {
        Form value = value(name);
        if (value instanceof Form.StringLiteral string) {
            return string.value();
        }
        if (value != null) {
            diagnostics.add(value.place(), "expected a string in quotes, found " + value.describe());
        }
        return null;
    }

    /** Returns an integer from {@code min} to {@code max}; any other value is reported and yields {@code fallback}. */
    long integer(String name, long min, long max, long fallback) {
        Form value = value(name);
        if (value instanceof Form.IntegerLiteral integer && integer.value() >= min && integer.value() <= max) {
            return integer.value();
        }
        if (value != null) {
            diagnostics.add(
                    value.place(), "expected an integer from " + min + " to " + max + ", found " + value.describe());
        }
        return fallback;
    }

    /** Returns a string that is one of {@code known}; any other value is reported and yields null. */
    String oneOf(String name, Set<String> known) {
        String string = string(name);
        if (string != null && !known.contains(string)) {
            diagnostics.add(
                    value(name).place(),
                    "expected a " + name + " of the settings, found " + string + NameSuggestions.hint(string, known));
            return null;
        }
        return string;
    }

    /** Returns the bytes of a hexadecimal string; any other value is reported and yields null. */
    byte[] bytes(String name) {
        String string = string(name);
        return string == null ? null : FormValues.bytes(string, value(name).place(), diagnostics);
    }

    /** Returns a numeric address with a port; any other value is reported and yields null. */
    InetSocketAddress address(String name) {
        String string = string(name);
        try {
            return string == null ? null : NodeConfig.address(name, string);
        } catch (MalformedInputException e) {
            diagnostics.add(value(name).place(), "expected a numeric host:port, found " + string);
            return null;
        }
    }
}
