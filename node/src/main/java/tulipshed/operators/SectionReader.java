package tulipshed.operators;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.config.NameIndex;
import tulipshed.expression.BuiltinFunctions;
import tulipshed.expression.CostModel;
import tulipshed.expression.Schema;
import tulipshed.expression.Type;
import tulipshed.expression.TypeChecker;
import tulipshed.routing.AttributeDeclaration;
import tulipshed.routing.AttributeDeclarations;
import tulipshed.routing.ClassificationRules;
import tulipshed.routing.EndpointSchema;
import tulipshed.routing.PoolMembership;
import tulipshed.routing.RequestSchema;
import tulipshed.routing.Router;
import tulipshed.routing.Routes;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.NameSuggestions;

/** Reads the sections of an operators' file and puts together what they say. */
final class SectionReader {
    private static final Set<String> SECTIONS = new LinkedHashSet<>(
            List.of("attributes", "longest", "max-cost", "define", "classify", "pool", "route", "quic"));
    private static final Set<String> TAKEN = Set.of("c", "t", "d", "g", "h", "r", "again", "at");
    private static final int LONGEST_LINE = 4096;
    private static final int USUAL_LENGTH = 64; // of a declared string, where the file does not say
    private static final int MOST_FIGURES = 64;
    private static final long USUAL_COST = 10_000; // about 50 microseconds on half a core
    private static final long MOST_COST = 1_000_000;

    private final NameIndex names;
    private final Diagnostics problems;
    private final Explanation explanation = new Explanation();
    private final List<Form.Sequence> defines = new ArrayList<>();
    private final List<Form.Sequence> pools = new ArrayList<>();
    private final List<Form.Sequence> routes = new ArrayList<>();
    private final Map<String, Form.Sequence> once = new HashMap<>();

    SectionReader(NameIndex names, Diagnostics problems) {
        this.names = names;
        this.problems = problems;
    }

    OperatorsFile read(List<Form> forms) {
        sort(forms);
        AttributeDeclarations declarations = declarations();
        long maxCost = USUAL_COST;
        if (once.containsKey("max-cost")) {
            SectionFields f = new SectionFields(
                    new Form.Sequence(
                            List.of(once.get("max-cost")),
                            false,
                            once.get("max-cost").place()),
                    0,
                    Set.of("max-cost"),
                    problems);
            maxCost = f.whole("max-cost", 1, MOST_COST, USUAL_COST);
        }
        QuicSection quic = once.containsKey("quic") ? QuicSection.read(once.get("quic"), names, problems) : null;
        RequestSchema transactions = new RequestSchema(
                longest(names.classNames()), longest(names.tenantNames()), declarations, LONGEST_LINE);
        EndpointSchema members = new EndpointSchema();
        checkDefines(transactions.schema(), members.schema());
        ClassificationRules classification = null;
        if (once.containsKey("classify")) {
            classification = new RuleReader(
                            names, transactions, checker(transactions.schema()), maxCost, problems, explanation)
                    .read(once.get("classify"));
        }
        PoolMembership memberPools = null;
        Routes read = null;
        if (!pools.isEmpty() || !routes.isEmpty()) {
            PoolReader poolReader = new PoolReader(members, checker(members.schema()), maxCost, problems, explanation);
            memberPools = poolReader.read(pools);
            read = routes.isEmpty()
                    ? null
                    : new RouteReader(
                                    transactions,
                                    checker(transactions.schema()),
                                    maxCost,
                                    poolReader.names(),
                                    problems,
                                    explanation)
                            .read(routes);
        }
        if (quic != null) {
            explanation.add("quic: listens on " + quic.listen() + " for class " + quic.requestClass() + ", "
                    + quic.ids().size() + " configurations of ids, "
                    + (quic.retry() == null
                            ? "no retry"
                            : "retry from " + quic.retry().on() + " connections without proof on"));
        }
        boolean rules = classification != null || memberPools != null || declarations != AttributeDeclarations.NONE;
        return new OperatorsFile(
                rules ? new Router(declarations, transactions, classification, memberPools, read) : null,
                quic,
                explanation);
    }

    private static int longest(Set<String> texts) {
        return texts.stream().mapToInt(String::length).max().orElse(0);
    }

    private void sort(List<Form> forms) {
        for (Form form : forms) {
            if (!(form instanceof Form.Sequence s) || s.head() == null) {
                problems.add(form.place(), "expected a section such as (pool ...), found " + form.describe());
                continue;
            }
            switch (s.head()) {
                case "define" -> defines.add(s);
                case "pool" -> pools.add(s);
                case "route" -> routes.add(s);
                default -> {
                    if (!SECTIONS.contains(s.head())) {
                        problems.add(
                                s.place(),
                                "expected a section, one of " + String.join(", ", SECTIONS) + ", found " + s.head()
                                        + NameSuggestions.hint(s.head(), SECTIONS));
                    } else if (once.putIfAbsent(s.head(), s) != null) {
                        problems.add(
                                s.place(),
                                s.head() + " stands twice; the first is at "
                                        + once.get(s.head()).place());
                    }
                }
            }
        }
    }

    private TypeChecker checker(Schema schema) {
        return checker(schema, problems);
    }

    private TypeChecker checker(Schema schema, Diagnostics to) {
        TypeChecker c = new TypeChecker(schema, to);
        defines.forEach(c::define);
        return c;
    }

    /** A define may speak of transactions or of members; one that is right for neither is wrong even where it is not used. */
    private void checkDefines(Schema transactions, Schema members) {
        if (defines.isEmpty()) {
            return;
        }
        Diagnostics twice = new Diagnostics("");
        List<String> all = new ArrayList<>(checker(transactions, twice).definitionNames());
        problems.addAll(twice);
        TypeChecker ofTransactions = checker(transactions, twice);
        TypeChecker ofMembers = checker(members, twice);
        for (String name : all) {
            if (problems.count() > Diagnostics.MOST) {
                // Enough to tell; what is nearest to a misspelt name is dear to find.
                return;
            }
            Diagnostics first = ofTransactions.checkDefinition(name);
            Diagnostics second = first.none() ? first : ofMembers.checkDefinition(name);
            if (!second.none()) {
                // It speaks of members where the fault is not that it does.
                problems.addAll(first.toString().contains("unknown name member.") ? second : first);
            }
        }
    }

    private AttributeDeclarations declarations() {
        Map<String, AttributeDeclaration> figures = new LinkedHashMap<>();
        if (once.containsKey("attributes")) {
            List<Form> items = once.get("attributes").items();
            items.subList(1, items.size()).forEach(f -> figure(f, figures));
            if (figures.size() > MOST_FIGURES) {
                problems.add(once.get("attributes").place(), "more than " + MOST_FIGURES + " attributes");
            }
        }
        int key = Integer.MAX_VALUE;
        int group = Integer.MAX_VALUE;
        if (once.containsKey("longest")) {
            SectionFields f =
                    new SectionFields(once.get("longest"), 1, new LinkedHashSet<>(List.of("key", "group")), problems);
            key = f.has("key") ? (int) f.whole("key", 1, LONGEST_LINE, 1) : key;
            group = f.has("group") ? (int) f.whole("group", 1, LONGEST_LINE, 1) : group;
        }
        return figures.isEmpty() && !once.containsKey("longest")
                ? AttributeDeclarations.NONE
                : new AttributeDeclarations(figures, key, group);
    }

    /** {@code (NAME TYPE [LONGEST])}. */
    private void figure(Form form, Map<String, AttributeDeclaration> figures) {
        Form.Sequence s = form instanceof Form.Sequence x ? x : null;
        if (s == null
                || s.head() == null
                || s.items().size() < 2
                || s.items().size() > 3
                || !(s.items().get(1) instanceof Form.Word type)) {
            problems.add(form.place(), "expected (NAME TYPE) or (NAME string LONGEST), found " + form.describe());
            return;
        }
        Type t = Type.named(type.name());
        Set<String> types = new LinkedHashSet<>(List.of("boolean", "integer", "decimal", "string"));
        if (!types.contains(type.name())) {
            problems.add(
                    type.place(),
                    "expected one of " + String.join(", ", types) + ", found " + type.name()
                            + NameSuggestions.hint(type.name(), types));
            return;
        }
        int longest = USUAL_LENGTH;
        if (s.items().size() == 3) {
            if (t != Type.STRING
                    || !(s.items().get(2) instanceof Form.Whole w)
                    || w.value() < 1
                    || w.value() > CostModel.MAX_STRING_LENGTH) {
                problems.add(
                        s.items().get(2).place(),
                        "expected characters at most, from 1 to " + CostModel.MAX_STRING_LENGTH
                                + ", of a string, found " + s.items().get(2).describe());
                return;
            }
            longest = (int) w.value();
        }
        if (TAKEN.contains(s.head())
                || BuiltinFunctions.contains(s.head())
                || RequestSchema.names(AttributeDeclarations.NONE).contains(s.head())) {
            problems.add(s.place(), s.head() + " has a meaning already");
        } else if (figures.putIfAbsent(s.head(), new AttributeDeclaration(t, t == Type.STRING ? longest : 0)) != null) {
            problems.add(s.place(), s.head() + " stands twice");
        }
    }
}
