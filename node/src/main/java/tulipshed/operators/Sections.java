package tulipshed.operators;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.NameSuggestions;

/** The sections of an operators' file, grouped by kind; definitions, pools and routes may occur more than once. */
final class Sections {
    private final Diagnostics diagnostics;
    private final List<Form.Sequence> definitions = new ArrayList<>();
    private final List<Form.Sequence> pools = new ArrayList<>();
    private final List<Form.Sequence> routes = new ArrayList<>();
    private final Map<String, Form.Sequence> single = new HashMap<>();

    /** Groups the forms of a file; a form that is not a section, and a repeated single section, are reported. */
    Sections(List<Form> forms, Diagnostics diagnostics) {
        this.diagnostics = diagnostics;
        forms.forEach(this::add);
    }

    List<Form.Sequence> definitions() {
        return definitions;
    }

    List<Form.Sequence> pools() {
        return pools;
    }

    List<Form.Sequence> routes() {
        return routes;
    }

    boolean hasSingle(String name) {
        return single.containsKey(name);
    }

    /** Returns a section that may occur only once, or null if it is missing. */
    Form.Sequence getSingle(String name) {
        return single.get(name);
    }

    private void add(Form form) {
        if (!(form instanceof Form.Sequence section) || section.head() == null) {
            diagnostics.add(form.place(), "expected a section such as (pool ...), found " + form.describe());
            return;
        }
        switch (section.head()) {
            case SectionNames.DEFINE -> definitions.add(section);
            case SectionNames.POOL -> pools.add(section);
            case SectionNames.ROUTE -> routes.add(section);
            default -> addSingle(section);
        }
    }

    private void addSingle(Form.Sequence section) {
        String name = section.head();
        if (!SectionNames.OF_OPERATORS_FILE.contains(name)) {
            diagnostics.add(
                    section.place(),
                    "expected a section, one of " + String.join(", ", SectionNames.OF_OPERATORS_FILE) + ", found "
                            + name + NameSuggestions.hint(name, SectionNames.OF_OPERATORS_FILE));
        } else if (single.putIfAbsent(name, section) != null) {
            diagnostics.add(
                    section.place(),
                    name + " is given twice; the first is at "
                            + single.get(name).place());
        }
    }
}
