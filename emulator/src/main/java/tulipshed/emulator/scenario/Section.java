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
        for (Form f : items) {
            if (f instanceof Form.Sequence s && s.head() != null) {
                entries.computeIfAbsent(s.head(), n -> new ArrayList<>()).add(s);
            } else {
                problems.add(f.place(), "expected (NAME VALUE ...), found " + f.describe());
            }
        }
    }

    private String path(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    /** A figure between two bounds, or the usual one where neither file nor overrides name it. */
    double number(String name, double least, double most, double usual) {
        Form.Sequence s = one(name);
        String other = overrides.take(path(name));
        double value = usual;
        SourcePosition at = s == null ? place : s.place();
        if (other != null) {
            try {
                value = Double.parseDouble(other);
            } catch (NumberFormatException e) {
                problems.add(at, path(name) + " is set to " + other + ", which is not a number");
                return usual;
            }
        } else if (s != null) {
            if (s.items().size() != 2) {
                problems.add(at, "expected (" + name + " NUMBER)");
                return usual;
            }
            Form f = s.items().get(1);
            if (f instanceof Form.IntegerLiteral w) {
                value = w.value();
            } else if (f instanceof Form.DecimalLiteral w) {
                value = w.value();
            } else {
                problems.add(f.place(), "expected a number for " + name + ", found " + f.describe());
                return usual;
            }
        }
        if (!(value >= least && value <= most)) {
            problems.add(
                    at,
                    path(name) + " is " + plain(value) + "; from " + plain(least) + " to " + plain(most)
                            + " is possible");
            return usual;
        }
        return value;
    }

    int whole(String name, int least, int most, int usual) {
        double value = number(name, least, most, usual);
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
    String word(String name, List<String> possible, String usual) {
        Form.Sequence s = one(name);
        String value = overrides.take(path(name));
        if (value == null && s != null) {
            value = s.items().size() == 2 && s.items().get(1) instanceof Form.Symbol w ? w.name() : "";
        }
        if (value == null) {
            return usual;
        }
        if (!possible.contains(value)) {
            problems.add(
                    s == null ? place : s.place(),
                    "expected one of " + String.join(", ", possible) + " for " + path(name)
                            + NameSuggestions.hint(value, possible));
            return usual;
        }
        return value;
    }

    /** A section within this one; an empty one where it is left out. */
    Section section(String name) {
        Form.Sequence s = one(name);
        return s == null
                ? new Section(path(name), place, List.of(), problems, overrides)
                : new Section(
                        path(name), s.place(), s.items().subList(1, s.items().size()), problems, overrides);
    }

    /** All sections of one name, each with a first word of its own, such as {@code (class slot-board ...)}. */
    Map<String, Section> named(String name) {
        known.add(name);
        Map<String, Section> out = new LinkedHashMap<>();
        for (Form.Sequence s : entries.getOrDefault(name, List.of())) {
            if (s.items().size() < 2 || !(s.items().get(1) instanceof Form.Symbol w)) {
                problems.add(s.place(), "expected (" + name + " NAME ...)");
            } else if (out.containsKey(w.name())) {
                problems.add(w.place(), name + " " + w.name() + " is there twice");
            } else {
                out.put(
                        w.name(),
                        new Section(
                                path(name) + "." + w.name(),
                                s.place(),
                                s.items().subList(2, s.items().size()),
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

    Section of(String within, Form.Sequence s, int from) {
        return new Section(
                path(within), s.place(), s.items().subList(from, s.items().size()), problems, overrides);
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
