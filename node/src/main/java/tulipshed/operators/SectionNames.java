package tulipshed.operators;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The section names of operators' files and tables of cases; they belong to the file format and must not change. */
final class SectionNames {
    static final String ATTRIBUTES = "attributes";
    static final String LONGEST = "longest";
    static final String MAX_COST = "max-cost";
    static final String DEFINE = "define";
    static final String CLASSIFY = "classify";
    static final String POOL = "pool";
    static final String ROUTE = "route";
    static final String QUIC = "quic";

    /** The sections of an operators' file. */
    static final Set<String> OF_OPERATORS_FILE =
            ordered(ATTRIBUTES, LONGEST, MAX_COST, DEFINE, CLASSIFY, POOL, ROUTE, QUIC);

    /** A rule within {@link #CLASSIFY}. */
    static final String RULE = "rule";

    /** A configuration of connection IDs within {@link #QUIC}. */
    static final String IDS = "ids";

    /** The endpoints of a table of cases. */
    static final String MEMBERS = "members";

    /** A case of a table of cases. */
    static final String CASE = "case";

    private SectionNames() {}

    /** Returns an unmodifiable set that keeps the order of the names; diagnostics list them in this order. */
    static Set<String> ordered(String... names) {
        return Collections.unmodifiableSet(new LinkedHashSet<>(List.of(names)));
    }
}
