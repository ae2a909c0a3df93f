package tulipshed.emulator.scenario;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.NameSuggestions;
import tulipshed.sexpr.SourcePosition;

/** One list of a scenario file as a section of named figures; tells of each that is wrong or not known. */
public final class Section {
    private final String path;
    private final SourcePosition place;
    private final Diagnostics problems;
    private final Overrides overrides;
    private final Map<String, List<Form.Sequence>> entries = new LinkedHashMap<>();
    private final Set<String> known = new HashSet<>();

    Section(String path, SourcePosition place, List<Form> items, Diagnostics problems, Overrides overrides) {
        this.path = path;
        this.place = place;
        this.problems = problems;
        this.overrides = overrides;
        for (Form form : items) {
            if (form instanceof Form.Sequence s && s.head() != null) {
                entries.computeIfAbsent(s.head(), n -> new ArrayList<>()).add(s);
            } else {
                problems.add(form.place(), "expected (NAME VALUE ...), found " + form.describe());
            }
        }
    }

    private String path(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    /** A figure between two bounds, or the usual one where neither file nor overrides name it. */
    double number(String name, double min, double max, double defaultValue) {
        Form.Sequence sequence = one(name);
        String other = overrides.take(path(name));
        double value = defaultValue;
        SourcePosition at = sequence == null ? place : sequence.place();
        if (other != null) {
            try {
                value = Double.parseDouble(other);
            } catch (NumberFormatException e) {
                problems.add(at, path(name) + " is set to " + other + ", which is not a number");
                return defaultValue;
            }
        } else if (sequence != null) {
            if (sequence.items().size() != 2) {
                problems.add(at, "expected (" + name + " NUMBER)");
                return defaultValue;
            }
            Form form = sequence.items().get(1);
            if (form instanceof Form.IntegerLiteral w) {
                value = w.value();
            } else if (form instanceof Form.DecimalLiteral w) {
                value = w.value();
            } else {
                problems.add(form.place(), "expected a number for " + name + ", found " + form.describe());
                return defaultValue;
            }
        }
        if (!(value >= min && value <= max)) {
            problems.add(
                    at,
                    path(name) + " is " + plain(value) + "; from " + plain(min) + " to " + plain(max) + " is possible");
            return defaultValue;
        }
        return value;
    }

    int whole(String name, int min, int max, int defaultValue) {
        double value = number(name, min, max, defaultValue);
        if (value != Math.rint(value)) {
            problems.add(place, path(name) + " is " + plain(value) + "; a whole number is expected");
        }
        return (int) value;
    }

    static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    /** One word out of some. */
    String word(String name, List<String> possible, String defaultValue) {
        Form.Sequence sequence = one(name);
        String value = overrides.take(path(name));
        if (value == null && sequence != null) {
            value = sequence.items().size() == 2 && sequence.items().get(1) instanceof Form.Symbol w ? w.name() : "";
        }
        if (value == null) {
            return defaultValue;
        }
        if (!possible.contains(value)) {
            problems.add(
                    sequence == null ? place : sequence.place(),
                    "expected one of " + String.join(", ", possible) + " for " + path(name)
                            + NameSuggestions.hint(value, possible));
            return defaultValue;
        }
        return value;
    }

    /** A section within this one; an empty one where it is left out. */
    Section section(String name) {
        Form.Sequence sequence = one(name);
        return sequence == null
                ? new Section(path(name), place, List.of(), problems, overrides)
                : new Section(
                        path(name),
                        sequence.place(),
                        sequence.items().subList(1, sequence.items().size()),
                        problems,
                        overrides);
    }

    /** All sections of one name, each with a first word of its own, such as {@code (class slot-board ...)}. */
    Map<String, Section> named(String name) {
        known.add(name);
        Map<String, Section> out = new LinkedHashMap<>();
        for (Form.Sequence sequence : entries.getOrDefault(name, List.of())) {
            if (sequence.items().size() < 2 || !(sequence.items().get(1) instanceof Form.Symbol w)) {
                problems.add(sequence.place(), "expected (" + name + " NAME ...)");
            } else if (out.containsKey(w.name())) {
                problems.add(w.place(), name + " " + w.name() + " is there twice");
            } else {
                out.put(
                        w.name(),
                        new Section(
                                path(name) + "." + w.name(),
                                sequence.place(),
                                sequence.items().subList(2, sequence.items().size()),
                                problems,
                                overrides));
            }
        }
        return out;
    }

    /** All lists of one name, as they stand. */
    List<Form.Sequence> lists(String name) {
        known.add(name);
        return entries.getOrDefault(name, List.of());
    }

    Section of(String within, Form.Sequence sequence, int from) {
        return new Section(
                path(within),
                sequence.place(),
                sequence.items().subList(from, sequence.items().size()),
                problems,
                overrides);
    }

    SourcePosition place() {
        return place;
    }

    private Form.Sequence one(String name) {
        known.add(name);
        List<Form.Sequence> all = entries.getOrDefault(name, List.of());
        if (all.size() > 1) {
            problems.add(all.get(1).place(), name + " is there twice");
        }
        return all.isEmpty() ? null : all.get(0);
    }

    /** Tells of every entry that nothing has asked for. */
    void done() {
        for (Map.Entry<String, List<Form.Sequence>> e : entries.entrySet()) {
            if (!known.contains(e.getKey())) {
                problems.add(
                        e.getValue().get(0).place(),
                        "nothing is called " + e.getKey() + " here" + NameSuggestions.hint(e.getKey(), known));
            }
        }
    }
}
