package tulipshed.operators;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import tulipshed.config.NameIndex;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.routing.Router;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;
import tulipshed.sexpr.SexprReader;

/**
 * Test cases for the rules, each a request with the results that the rules must give for it:
 * {@code (members ("ID" (zone "Z") (kind "K") (cell 1) (weight 1.0)) ...)} and
 * {@code (case "NAME" (given (class "C") (key "K") ...) (expect (class "C") (group "G") (rule R) (route R) (pool P)))}.
 * Only the results named in {@code expect} are compared; {@code none} expects the absence of a result. All endpoints
 * are treated as serving.
 */
public final class CaseTable {
    private static final String NONE = "none";

    private final String file;
    private final List<EndpointInfo> endpoints;
    private final List<TestCase> cases;
    private int failed;

    private CaseTable(String file, List<EndpointInfo> endpoints, List<TestCase> cases) {
        this.file = file;
        this.endpoints = endpoints;
        this.cases = cases;
    }

    /**
     * Reads a table of cases.
     *
     * @param file the file name that diagnostics show
     * @param bytes the content of the file
     *
     * @throws InvalidOperatorsFileException if the content has errors
     */
    public static CaseTable read(String file, byte[] bytes) {
        Diagnostics diagnostics = new Diagnostics(file);
        CaseTableReader reader = new CaseTableReader(diagnostics);
        for (Form form : SexprReader.read(bytes, OperatorsFile.BOUNDS, diagnostics)) {
            reader.read(form);
        }
        if (!diagnostics.none()) {
            throw new InvalidOperatorsFileException(diagnostics);
        }
        return new CaseTable(file, reader.endpoints(), reader.cases());
    }

    /** Returns the number of cases. */
    public int size() {
        return cases.size();
    }

    /** Returns the number of cases that failed in the last run. */
    public int failed() {
        return failed;
    }

    /**
     * Applies the rules to all cases; returns one line for each result that differs from the expected one, and one for
     * each case whose request is invalid.
     */
    public List<String> run(OperatorsFile rules, NameIndex names) {
        Router router = rules.router();
        if (router != null) {
            applyEndpoints(router);
        }
        CaseEvaluator evaluator = new CaseEvaluator(router, names);
        List<String> lines = new ArrayList<>();
        failed = 0;
        for (TestCase testCase : cases) {
            List<String> failures = run(testCase, evaluator);
            String prefix = file + ":" + testCase.place() + ": case " + testCase.name() + ": ";
            failures.forEach(failure -> lines.add(prefix + failure));
            failed += failures.isEmpty() ? 0 : 1;
        }
        return lines;
    }

    private void applyEndpoints(Router router) {
        router.updatePools(endpoints, 0);
        Map<String, Set<String>> pools = router.endpointIdsByPool();
        router.reevaluateSpillover(pool -> pools.get(pool).size());
    }

    private static List<String> run(TestCase testCase, CaseEvaluator evaluator) {
        String invalid = evaluator.checkRequest(testCase);
        if (invalid != null) {
            return List.of(invalid);
        }
        List<String> failures = new ArrayList<>();
        Map<String, String> results = evaluator.evaluate(testCase);
        testCase.expected().forEach((name, expected) -> {
            String actual = Objects.requireNonNullElse(results.get(name), NONE);
            if (!actual.equals(expected)) {
                failures.add("expected " + name + " " + expected + ", got " + actual);
            }
        });
        return failures;
    }
}
