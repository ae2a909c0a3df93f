package tulipshed.operators;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.routing.AttributeValue;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.NameSuggestions;

/** Reads the sections {@code (members ...)} and {@code (case ...)} of a table of cases. */
final class CaseTableReader {
    private static final Set<String> EXPECTED_NAMES = SectionNames.ordered(
            FieldNames.CLASS,
            FieldNames.TENANT,
            FieldNames.GROUP,
            SectionNames.RULE,
            SectionNames.ROUTE,
            SectionNames.POOL);
    private static final Set<String> MEMBER_FIELDS =
            SectionNames.ordered(FieldNames.ZONE, FieldNames.KIND, FieldNames.CELL, FieldNames.WEIGHT);
    private static final Set<String> CASE_FIELDS = SectionNames.ordered(FieldNames.GIVEN, FieldNames.EXPECT);

    private final Diagnostics diagnostics;
    private final List<EndpointInfo> endpoints = new ArrayList<>();
    private final List<TestCase> cases = new ArrayList<>();

    CaseTableReader(Diagnostics diagnostics) {
        this.diagnostics = diagnostics;
    }

    List<EndpointInfo> endpoints() {
        return endpoints;
    }

    List<TestCase> cases() {
        return cases;
    }

    /** Adds the content of a section; errors are reported. */
    void read(Form form) {
        String name = form instanceof Form.Sequence section ? section.head() : null;
        if (SectionNames.CASE.equals(name)) {
            readCase((Form.Sequence) form);
        } else if (SectionNames.MEMBERS.equals(name)) {
            List<Form> items = ((Form.Sequence) form).items();
            items.subList(1, items.size()).forEach(this::readEndpoint);
        } else {
            diagnostics.add(form.place(), "expected (case ...) or (members ...), found " + form.describe());
        }
    }

    /** Reads {@code ("ID" (zone "Z") (kind "K") (cell 1) (weight 1.0))}. */
    private void readEndpoint(Form form) {
        if (!(form instanceof Form.Sequence endpoint)
                || endpoint.square()
                || endpoint.items().isEmpty()
                || !(endpoint.items().get(0) instanceof Form.StringLiteral id)) {
            diagnostics.add(form.place(), "expected (\"ID\" (zone \"Z\") ...), found " + form.describe());
            return;
        }
        SectionFields fields = new SectionFields(endpoint, 1, MEMBER_FIELDS, diagnostics);
        double weight = readWeight(fields);
        String zone = fields.has(FieldNames.ZONE) ? fields.string(FieldNames.ZONE) : "";
        String machineType = fields.has(FieldNames.KIND) ? fields.string(FieldNames.KIND) : "";
        int cell = fields.has(FieldNames.CELL) ? (int) fields.integer(FieldNames.CELL, 0, Integer.MAX_VALUE, 0) : 0;
        endpoints.add(new EndpointInfo(id.value(), EndpointStatus.SERVING, zone, cell, machineType, weight, 0));
    }

    private double readWeight(SectionFields fields) {
        if (!fields.has(FieldNames.WEIGHT)) {
            return 1;
        }
        double weight = FormValues.number(fields.value(FieldNames.WEIGHT));
        if (!(weight > 0)) {
            diagnostics.add(fields.place(FieldNames.WEIGHT), "expected a weight above 0");
        }
        return weight;
    }

    /** Reads {@code (case NAME (given (NAME VALUE) ...) (expect (NAME VALUE) ...))}. */
    private void readCase(Form.Sequence form) {
        String name =
                form.items().size() < 2 ? null : FormValues.name(form.items().get(1), diagnostics);
        SectionFields fields = new SectionFields(form, 2, CASE_FIELDS, diagnostics);
        if (name == null || !fields.has(FieldNames.GIVEN) || !fields.has(FieldNames.EXPECT)) {
            diagnostics.add(form.place(), "expected (case NAME (given ...) (expect ...))");
            return;
        }
        Map<String, AttributeValue> given = readGiven(fields.values(FieldNames.GIVEN));
        Map<String, String> expected = readExpected(fields.values(FieldNames.EXPECT));
        cases.add(new TestCase(form.place(), name, given, expected));
    }

    private Map<String, AttributeValue> readGiven(List<Form> forms) {
        Map<String, AttributeValue> given = new LinkedHashMap<>();
        for (Form form : forms) {
            AttributeValue value = readPairValue(form);
            if (value != null && given.put(((Form.Sequence) form).head(), value) != null) {
                diagnostics.add(form.place(), ((Form.Sequence) form).head() + " is given twice");
            }
        }
        return given;
    }

    private Map<String, String> readExpected(List<Form> forms) {
        Map<String, String> expected = new LinkedHashMap<>();
        for (Form form : forms) {
            AttributeValue value = readPairValue(form);
            if (value == null) {
                continue;
            }
            String name = ((Form.Sequence) form).head();
            if (EXPECTED_NAMES.contains(name)) {
                expected.put(name, TestCase.text(value));
            } else {
                diagnostics.add(
                        form.place(),
                        "expected one of " + String.join(", ", EXPECTED_NAMES) + ", found " + name
                                + NameSuggestions.hint(name, EXPECTED_NAMES));
            }
        }
        return expected;
    }

    /** Returns the value of {@code (NAME VALUE)}; any other form is reported and yields null. */
    private AttributeValue readPairValue(Form form) {
        AttributeValue value = form instanceof Form.Sequence pair
                        && pair.head() != null
                        && pair.items().size() == 2
                ? readValue(pair.items().get(1))
                : null;
        if (value == null) {
            diagnostics.add(form.place(), "expected (NAME VALUE), found " + form.describe());
        }
        return value;
    }

    private static AttributeValue readValue(Form form) {
        if (form instanceof Form.StringLiteral string) {
            return new AttributeValue.StringValue(string.value());
        } else if (form instanceof Form.IntegerLiteral integer) {
            return new AttributeValue.IntegerValue(integer.value());
        } else if (form instanceof Form.DecimalLiteral decimal) {
            return new AttributeValue.DecimalValue(decimal.value());
        } else if (form instanceof Form.Symbol symbol) {
            return switch (symbol.name()) {
                case "true" -> AttributeValue.BooleanValue.TRUE;
                case "false" -> AttributeValue.BooleanValue.FALSE;
                default -> new AttributeValue.StringValue(symbol.name());
            };
        }
        return null;
    }
}
