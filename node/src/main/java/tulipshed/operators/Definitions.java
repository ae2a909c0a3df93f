package tulipshed.operators;

import java.util.ArrayList;
import java.util.List;
import tulipshed.expression.Schema;
import tulipshed.expression.TypeChecker;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;

/** The definitions of a file, which expressions over requests and over endpoints may use. */
final class Definitions {
    /** The prefix of the error that the type checker reports for an endpoint attribute in an expression over requests. */
    private static final String UNKNOWN_ENDPOINT_ATTRIBUTE = "unknown name member.";

    private final List<Form.Sequence> forms;
    private final Diagnostics diagnostics;

    Definitions(List<Form.Sequence> forms, Diagnostics diagnostics) {
        this.forms = forms;
        this.diagnostics = diagnostics;
    }

    /** Returns a new type checker for expressions that may use the definitions. */
    TypeChecker newChecker(Schema schema) {
        return newChecker(schema, diagnostics);
    }

    private TypeChecker newChecker(Schema schema, Diagnostics target) {
        TypeChecker checker = new TypeChecker(schema, target);
        forms.forEach(checker::define);
        return checker;
    }

    /** Checks all definitions, used or not; each must be valid for the request schema or for the endpoint schema. */
    void check(Schema requestSchema, Schema endpointSchema) {
        if (forms.isEmpty()) {
            return;
        }
        Diagnostics malformed = new Diagnostics("");
        List<String> names =
                new ArrayList<>(newChecker(requestSchema, malformed).definitionNames());
        diagnostics.addAll(malformed);
        TypeChecker requestChecker = newChecker(requestSchema, malformed);
        TypeChecker endpointChecker = newChecker(endpointSchema, malformed);
        for (String name : names) {
            if (diagnostics.count() > Diagnostics.MAX_REPORTED) {
                // Further errors are not reported, and the search for similar names is slow.
                return;
            }
            check(name, requestChecker, endpointChecker);
        }
    }

    private void check(String name, TypeChecker requestChecker, TypeChecker endpointChecker) {
        Diagnostics requestErrors = requestChecker.checkDefinition(name);
        Diagnostics endpointErrors = requestErrors.none() ? requestErrors : endpointChecker.checkDefinition(name);
        if (!endpointErrors.none()) {
            boolean readsEndpoints = requestErrors.toString().contains(UNKNOWN_ENDPOINT_ATTRIBUTE);
            diagnostics.addAll(readsEndpoints ? endpointErrors : requestErrors);
        }
    }
}
