package tulipshed.operators;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import tulipshed.config.NameIndex;
import tulipshed.expression.Network;
import tulipshed.routing.AdditionalAttributes;
import tulipshed.routing.AttributeDeclarations;
import tulipshed.routing.MatchedRules;
import tulipshed.routing.RequestAttributes;
import tulipshed.routing.RequestClassification;
import tulipshed.routing.RequestOrigin;
import tulipshed.routing.RequestSchema;
import tulipshed.routing.Router;
import tulipshed.sexpr.NameSuggestions;

/** Applies the rules of an operators' file to the requests of test cases. */
final class CaseEvaluator {
    private static final String DEFAULT_SOURCE_ADDRESS = "127.0.0.1";
    private static final String DEFAULT_FRONTEND = "line";
    private static final double DEFAULT_DEADLINE_MS = 1000;

    private final Router router;
    private final NameIndex names;

    /**
     * Creates an evaluator; {@code router} is null only if the file declares no attributes, maximum lengths,
     * classification rules, pools or routes.
     */
    CaseEvaluator(Router router, NameIndex names) {
        this.router = router;
        this.names = names;
    }

    /** Describes an unknown class, tenant or attribute name of the request, or returns null; other values are not checked. */
    String checkRequest(TestCase testCase) {
        String requestClass = testCase.text(FieldNames.CLASS);
        String tenant = testCase.text(FieldNames.TENANT);
        if (!names.classNames().contains(String.valueOf(requestClass))) {
            return "the settings have no class " + requestClass;
        }
        boolean unknownTenant = tenant == null
                ? !names.tenantNames().isEmpty()
                : !names.tenantNames().contains(tenant);
        if (unknownTenant) {
            return "the settings have no tenant " + tenant;
        }
        AttributeDeclarations declarations = router == null ? AttributeDeclarations.NONE : router.declarations();
        Collection<String> known = RequestSchema.names(declarations);
        for (String name : testCase.given().keySet()) {
            if (!known.contains(name)) {
                return "a request has no " + name + NameSuggestions.hint(name, known);
            }
        }
        return null;
    }

    /** Returns the results of the rules by the names used in {@code (expect ...)}; null for a result that is not assigned. */
    Map<String, String> evaluate(TestCase testCase) {
        RequestAttributes request = request(testCase);
        RequestClassification classification = router == null
                ? new RequestClassification(request.className(), request.tenant(), request.group())
                : router.classify(request);
        Map<String, String> results = new HashMap<>();
        results.put(FieldNames.CLASS, classification.className());
        results.put(FieldNames.TENANT, classification.tenant());
        results.put(FieldNames.GROUP, classification.group());
        if (router != null) {
            MatchedRules matched = router.matchedRules(request);
            results.put(SectionNames.RULE, matched.classificationRule());
            results.put(SectionNames.ROUTE, matched.route());
            results.put(SectionNames.POOL, router.poolFor(request.withClassification(classification)));
        }
        return results;
    }

    private static RequestAttributes request(TestCase testCase) {
        return new RequestAttributes(
                testCase.text(FieldNames.CLASS),
                testCase.text(FieldNames.TENANT),
                testCase.text(FieldNames.KEY, ""),
                testCase.text(FieldNames.GROUP),
                testCase.number(FieldNames.DEADLINE_MS, DEFAULT_DEADLINE_MS),
                testCase.number(FieldNames.HINT, 0),
                testCase.isTrue(FieldNames.RETRY),
                testCase.isTrue(FieldNames.AGAIN),
                origin(testCase));
    }

    private static RequestOrigin origin(TestCase testCase) {
        Network source = Network.parse(testCase.text(FieldNames.SOURCE_ADDRESS, DEFAULT_SOURCE_ADDRESS));
        AdditionalAttributes.Builder additional = AdditionalAttributes.builder();
        testCase.given().forEach(additional::put);
        return new RequestOrigin(
                testCase.text(FieldNames.FRONT, DEFAULT_FRONTEND),
                source == null ? 0 : source.high(),
                source == null ? 0 : source.low(),
                additional.build());
    }
}
