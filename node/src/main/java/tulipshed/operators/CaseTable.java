package tulipshed.operators;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import tulipshed.config.NameIndex;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.expression.Network;
import tulipshed.routing.AdditionalAttributes;
import tulipshed.routing.AttributeDeclarations;
import tulipshed.routing.AttributeValue;
import tulipshed.routing.MatchedRules;
import tulipshed.routing.RequestAttributes;
import tulipshed.routing.RequestClassification;
import tulipshed.routing.RequestOrigin;
import tulipshed.routing.RequestSchema;
import tulipshed.routing.Router;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.NameSuggestions;
import tulipshed.sexpr.SexprReader;

/**
 * Transactions and what each must get:
 * {@code (members ("ID" (zone "Z") (kind "K") (cell 1) (weight 1.0)) ...)} and
 * {@code (case "NAME" (given (class "C") (key "K") ...) (expect (class "C") (group "G") (rule R) (route R) (pool P)))}.
 * What is not expected is not looked at; {@code none} expects that there is none. All members count as ready.
 */
public final class CaseTable {
    private static final Set<String> EXPECTED =
            new LinkedHashSet<>(List.of("class", "tenant", "group", "rule", "route", "pool"));
    private static final Set<String> MEMBER_FIELDS = new LinkedHashSet<>(List.of("zone", "kind", "cell", "weight"));
    private static final String NONE = "none";

    private final String file;
    private final List<EndpointInfo> members = new ArrayList<>();
    private final List<Case> cases = new ArrayList<>();
    private int failed;

    private record Case(Form.Sequence form, String name, Map<String, Object> given, Map<String, String> expected) {}

    private CaseTable(String file) {
        this.file = file;
    }

    /** Reads a table; {@link InvalidOperatorsFileException} tells all that is wrong with it. */
    public static CaseTable read(String file, byte[] bytes) {
        Diagnostics problems = new Diagnostics(file);
        CaseTable table = new CaseTable(file);
        for (Form f : SexprReader.read(bytes, OperatorsFile.BOUNDS, problems)) {
            String head = f instanceof Form.Sequence s ? s.head() : null;
            if ("case".equals(head)) {
                table.readCase((Form.Sequence) f, problems);
            } else if ("members".equals(head)) {
                List<Form> items = ((Form.Sequence) f).items();
                items.subList(1, items.size()).forEach(m -> table.readMember(m, problems));
            } else {
                problems.add(f.place(), "expected (case ...) or (members ...), found " + f.describe());
            }
        }
        if (!problems.none()) {
            throw new InvalidOperatorsFileException(problems);
        }
        return table;
    }

    private void readMember(Form form, Diagnostics problems) {
        if (!(form instanceof Form.Sequence s)
                || s.square()
                || s.items().isEmpty()
                || !(s.items().get(0) instanceof Form.Text id)) {
            problems.add(form.place(), "expected (\"ID\" (zone \"Z\") ...), found " + form.describe());
            return;
        }
        SectionFields f = new SectionFields(s, 1, MEMBER_FIELDS, problems);
        double weight = 1;
        if (f.has("weight")) {
            Form w = f.value("weight");
            weight = w instanceof Form.Fraction x ? x.value() : w instanceof Form.Whole x ? x.value() : Double.NaN;
            if (!(weight > 0)) {
                problems.add(f.place("weight"), "expected a weight above 0");
            }
        }
        String zone = f.has("zone") ? f.text("zone") : "";
        String kind = f.has("kind") ? f.text("kind") : "";
        members.add(new EndpointInfo(
                id.value(),
                EndpointStatus.SERVING,
                zone,
                f.has("cell") ? (int) f.whole("cell", 0, Integer.MAX_VALUE, 0) : 0,
                kind,
                weight,
                0));
    }

    private void readCase(Form.Sequence s, Diagnostics problems) {
        String name = s.items().size() < 2 ? null : SectionFields.name(s.items().get(1), problems);
        SectionFields f = new SectionFields(s, 2, new LinkedHashSet<>(List.of("given", "expect")), problems);
        if (name == null || !f.has("given") || !f.has("expect")) {
            problems.add(s.place(), "expected (case NAME (given ...) (expect ...))");
            return;
        }
        Map<String, Object> given = new LinkedHashMap<>();
        Map<String, String> expected = new LinkedHashMap<>();
        for (Form g : f.items("given")) {
            Object value = pair(g, problems);
            if (value != null && given.put(((Form.Sequence) g).head(), value) != null) {
                problems.add(g.place(), ((Form.Sequence) g).head() + " stands twice");
            }
        }
        for (Form e : f.items("expect")) {
            Object value = pair(e, problems);
            String what = value == null ? null : ((Form.Sequence) e).head();
            if (what != null && !EXPECTED.contains(what)) {
                problems.add(
                        e.place(),
                        "expected one of " + String.join(", ", EXPECTED) + ", found " + what
                                + NameSuggestions.hint(what, EXPECTED));
            } else if (what != null) {
                expected.put(what, String.valueOf(value));
            }
        }
        cases.add(new Case(s, name, given, expected));
    }

    private static Object pair(Form form, Diagnostics problems) {
        if (form instanceof Form.Sequence s && s.head() != null && s.items().size() == 2) {
            Form v = s.items().get(1);
            if (v instanceof Form.Text t) {
                return t.value();
            } else if (v instanceof Form.Whole w) {
                return w.value();
            } else if (v instanceof Form.Fraction x) {
                return x.value();
            } else if (v instanceof Form.Word w) {
                return switch (w.name()) {
                    case "true" -> true;
                    case "false" -> false;
                    default -> w.name();
                };
            }
        }
        problems.add(form.place(), "expected (NAME VALUE), found " + form.describe());
        return null;
    }

    /** How many cases there are. */
    public int size() {
        return cases.size();
    }

    /** How many of them failed when they were last run. */
    public int failed() {
        return failed;
    }

    /** What came out other than expected, a line each. */
    public List<String> run(OperatorsFile rules, NameIndex names) {
        List<String> lines = new ArrayList<>();
        failed = 0;
        Router router = rules.router();
        if (router != null) {
            router.updatePools(members, 0);
            Map<String, Set<String>> pools = router.endpointIdsByPool();
            router.reevaluateSpillover(pool -> pools.get(pool).size());
        }
        for (Case c : cases) {
            int before = lines.size();
            String place = file + ":" + c.form().place() + ": case " + c.name() + ": ";
            String wrong = unknown(c, names, router);
            if (wrong != null) {
                lines.add(place + wrong);
            } else {
                Map<String, String> got = got(subject(c), router);
                c.expected().forEach((what, want) -> {
                    String found = Objects.requireNonNullElse(got.get(what), NONE);
                    if (!found.equals(want)) {
                        lines.add(place + "expected " + what + " " + want + ", got " + found);
                    }
                });
            }
            failed += lines.size() > before ? 1 : 0;
        }
        return lines;
    }

    private static String unknown(Case c, NameIndex names, Router router) {
        Object requestClass = c.given().get("class");
        Object tenant = c.given().get("tenant");
        if (!names.classNames().contains(String.valueOf(requestClass))) {
            return "the settings have no class " + requestClass;
        }
        if (tenant == null
                ? !names.tenantNames().isEmpty()
                : !names.tenantNames().contains(String.valueOf(tenant))) {
            return "the settings have no tenant " + tenant;
        }
        Collection<String> known =
                RequestSchema.names(router == null ? AttributeDeclarations.NONE : router.declarations());
        for (String name : c.given().keySet()) {
            if (!known.contains(name)) {
                return "a transaction has no " + name + NameSuggestions.hint(name, known);
            }
        }
        return null;
    }

    private static RequestAttributes subject(Case c) {
        Map<String, Object> g = c.given();
        Network source = Network.parse(String.valueOf(g.getOrDefault("source-address", "127.0.0.1")));
        RequestOrigin origin = new RequestOrigin(
                String.valueOf(g.getOrDefault("front", "line")),
                source == null ? 0 : source.high(),
                source == null ? 0 : source.low(),
                additionalAttributes(g));
        return new RequestAttributes(
                String.valueOf(g.get("class")),
                (String) g.get("tenant"),
                String.valueOf(g.getOrDefault("key", "")),
                g.get("group") == null ? null : String.valueOf(g.get("group")),
                g.get("deadline-ms") instanceof Number n ? n.doubleValue() : 1000,
                g.get("hint") instanceof Number n ? n.doubleValue() : 0,
                Boolean.TRUE.equals(g.get("retry")),
                Boolean.TRUE.equals(g.get("again")),
                origin);
    }

    private static AdditionalAttributes additionalAttributes(Map<String, Object> given) {
        AdditionalAttributes.Builder builder = AdditionalAttributes.builder();
        given.forEach((name, value) -> builder.put(name, attributeValue(value)));
        return builder.build();
    }

    private static AttributeValue attributeValue(Object value) {
        if (value instanceof String string) {
            return new AttributeValue.StringValue(string);
        } else if (value instanceof Long integer) {
            return new AttributeValue.IntegerValue(integer);
        } else if (value instanceof Double decimal) {
            return new AttributeValue.DecimalValue(decimal);
        }
        return new AttributeValue.BooleanValue((Boolean) value);
    }

    private static Map<String, String> got(RequestAttributes s, Router router) {
        Map<String, String> got = new HashMap<>();
        RequestClassification c =
                router == null ? new RequestClassification(s.className(), s.tenant(), s.group()) : router.classify(s);
        got.put("class", c.className());
        got.put("tenant", c.tenant());
        got.put("group", c.group());
        if (router != null) {
            MatchedRules matched = router.matchedRules(s);
            got.put("rule", matched.classificationRule());
            got.put("route", matched.route());
            got.put("pool", router.poolFor(s.withClassification(c)));
        }
        return got;
    }
}
