package tulipshed.operators;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import tulipshed.routing.PoolTarget;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.NameSuggestions;
import tulipshed.sexpr.SourcePosition;

/** Reads the targets of a route: names of pools, or {@code (NAME (below SHARE) (back SHARE))}. */
final class RouteTargetReader {
    private static final Set<String> FIELDS = SectionNames.ordered(FieldNames.BELOW, FieldNames.BACK);

    private final Set<String> poolNames;
    private final Diagnostics diagnostics;

    RouteTargetReader(Set<String> poolNames, Diagnostics diagnostics) {
        this.poolNames = poolNames;
        this.diagnostics = diagnostics;
    }

    /** Returns the targets in order of preference; an empty list of targets is reported at {@code place}. */
    List<PoolTarget> read(List<Form> forms, SourcePosition place) {
        List<PoolTarget> targets = new ArrayList<>();
        for (Form form : forms) {
            PoolTarget target = form instanceof Form.Sequence sequence ? readWithShares(sequence) : readName(form);
            if (target != null) {
                targets.add(target);
            }
        }
        if (forms.isEmpty()) {
            diagnostics.add(place, "expected a pool");
        }
        return targets;
    }

    private PoolTarget readName(Form form) {
        String pool = readPool(form, form);
        return pool == null ? null : new PoolTarget(pool, 0, 0);
    }

    private PoolTarget readWithShares(Form.Sequence form) {
        if (form.square() || form.items().isEmpty()) {
            diagnostics.add(form.place(), "expected a pool, found " + form.describe());
            return null;
        }
        String pool = readPool(form.items().get(0), form);
        SectionFields fields = new SectionFields(form, 1, FIELDS, diagnostics);
        Form below = fields.value(FieldNames.BELOW);
        Form back = fields.value(FieldNames.BACK);
        double spillBelow = below == null ? 0 : FormValues.share(below, diagnostics);
        double restoreAt = back == null ? 1 : FormValues.share(back, diagnostics);
        if (restoreAt < spillBelow) {
            diagnostics.add(
                    fields.place(FieldNames.BACK),
                    "expected a share to come back at that is not below " + spillBelow + ", found " + restoreAt);
        }
        return pool == null ? null : new PoolTarget(pool, spillBelow, restoreAt);
    }

    /** Returns the name of a pool; null if the form is not a name. An unknown pool is reported at the target. */
    private String readPool(Form name, Form target) {
        String pool = FormValues.name(name, diagnostics);
        if (pool != null && !poolNames.contains(pool)) {
            diagnostics.add(target.place(), "unknown pool " + pool + NameSuggestions.hint(pool, poolNames));
        }
        return pool;
    }
}
