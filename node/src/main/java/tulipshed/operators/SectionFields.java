package tulipshed.operators;

import java.net.InetSocketAddress;
import java.util.HexFormat;
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

/** The named parts of a section, {@code (NAME VALUE ...)} each; what is unknown, twice or missing is noted. */
final class SectionFields {
    private final Form.Sequence section;
    private final Diagnostics problems;
    private final Map<String, Form.Sequence> byName = new LinkedHashMap<>();

    /** Those of a section from its {@code first} item on. */
    SectionFields(Form.Sequence section, int first, Set<String> allowed, Diagnostics problems) {
        this.section = section;
        this.problems = problems;
        for (Form f : section.items()
                .subList(
                        Math.min(first, section.items().size()), section.items().size())) {
            if (!(f instanceof Form.Sequence s) || s.head() == null) {
                problems.add(
                        f.place(),
                        "expected one of " + String.join(", ", allowed) + " in brackets, found " + f.describe());
            } else if (!allowed.contains(s.head())) {
                problems.add(
                        s.place(),
                        "expected one of " + String.join(", ", allowed) + ", found " + s.head()
                                + NameSuggestions.hint(s.head(), allowed));
            } else if (byName.putIfAbsent(s.head(), s) != null) {
                problems.add(
                        s.place(),
                        s.head() + " stands twice; the first is at "
                                + byName.get(s.head()).place());
            }
        }
    }

    boolean has(String name) {
        return byName.containsKey(name);
    }

    /** The part of that name, or null. */
    Form.Sequence get(String name) {
        return byName.get(name);
    }

    SourcePosition place(String name) {
        return has(name) ? byName.get(name).place() : section.place();
    }

    /** The one value of a part; null, noted, where it is missing or there are more. */
    Form value(String name) {
        Form.Sequence s = byName.get(name);
        if (s == null) {
            problems.add(section.place(), "expected (" + name + " ...) in " + section.describe());
            return null;
        }
        if (s.items().size() != 2) {
            problems.add(
                    s.place(),
                    "expected one value of " + name + ", found " + (s.items().size() - 1));
            return null;
        }
        return s.items().get(1);
    }

    String text(String name) {
        Form f = value(name);
        if (f == null || f instanceof Form.Text) {
            return f == null ? null : ((Form.Text) f).value();
        }
        problems.add(f.place(), "expected a text in quotes, found " + f.describe());
        return null;
    }

    /** A whole number; {@code otherwise}, noted, where it is none or out of its bounds. */
    long whole(String name, long least, long most, long otherwise) {
        Form f = value(name);
        if (f instanceof Form.Whole w && w.value() >= least && w.value() <= most) {
            return w.value();
        }
        if (f != null) {
            problems.add(
                    f.place(), "expected a whole number from " + least + " to " + most + ", found " + f.describe());
        }
        return otherwise;
    }

    /** One of known names; null, noted with the nearest, where it is none. */
    String oneOf(String name, Set<String> known) {
        String text = text(name);
        if (text != null && !known.contains(text)) {
            problems.add(
                    value(name).place(),
                    "expected a " + name + " of the settings, found " + text + NameSuggestions.hint(text, known));
            return null;
        }
        return text;
    }

    byte[] hex(String name) {
        String text = text(name);
        return text == null ? null : hex(text, value(name).place(), problems);
    }

    static byte[] hex(String text, SourcePosition place, Diagnostics problems) {
        try {
            return HexFormat.of().parseHex(text);
        } catch (IllegalArgumentException e) {
            problems.add(place, "expected hexadecimal digits, two for a byte");
            return null;
        }
    }

    InetSocketAddress address(String name) {
        String text = text(name);
        try {
            return text == null ? null : NodeConfig.address(name, text);
        } catch (MalformedInputException e) {
            problems.add(value(name).place(), "expected a numeric host:port, found " + text);
            return null;
        }
    }

    /** A name: a word or a text; null, noted, where it is neither. */
    static String name(Form f, Diagnostics problems) {
        if (f instanceof Form.Word w) {
            return w.name();
        } else if (f instanceof Form.Text t && !t.value().isEmpty()) {
            return t.value();
        }
        problems.add(f.place(), "expected a name, found " + f.describe());
        return null;
    }

    /** A share from 0 to 1; NaN, noted, where it is none. */
    static double share(Form f, Diagnostics problems) {
        double value = f instanceof Form.Fraction x ? x.value() : f instanceof Form.Whole w ? w.value() : Double.NaN;
        if (value >= 0 && value <= 1) {
            return value;
        }
        problems.add(f.place(), "expected a share from 0.0 to 1.0, found " + f.describe());
        return Double.NaN;
    }

    List<Form> items(String name) {
        return has(name) ? get(name).items().subList(1, get(name).items().size()) : List.of();
    }
}
