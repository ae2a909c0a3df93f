package tulipshed.operators;

import java.util.List;
import java.util.Set;
import tulipshed.config.NameIndex;
import tulipshed.routing.AttributeDeclarations;
import tulipshed.routing.ClassificationRules;
import tulipshed.routing.EndpointSchema;
import tulipshed.routing.PoolMembership;
import tulipshed.routing.RequestSchema;
import tulipshed.routing.Router;
import tulipshed.routing.Routes;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;

/** Reads the sections of an operators' file and assembles the router and the QUIC frontend's section. */
final class OperatorsFileReader {
    /** The cost limit of a file that sets none, in units of {@link tulipshed.expression.CostModel}. */
    private static final long DEFAULT_MAX_COST = 10_000;

    private static final long MAX_MAX_COST = 1_000_000;

    private final Sections sections;
    private final ReaderContext context;
    private final Diagnostics diagnostics;
    private final Definitions definitions;
    private final AttributeDeclarations declarations;
    private final EndpointSchema endpointSchema = new EndpointSchema();

    private OperatorsFileReader(Sections sections, AttributeDeclarations declarations, ReaderContext context) {
        this.sections = sections;
        this.declarations = declarations;
        this.context = context;
        this.diagnostics = context.diagnostics();
        definitions = new Definitions(sections.definitions(), diagnostics);
    }

    /** Reads the forms of a file; the caller must not use the result if errors were reported. */
    static OperatorsFile read(List<Form> forms, NameIndex names, Diagnostics diagnostics) {
        Sections sections = new Sections(forms, diagnostics);
        AttributeDeclarations declarations = AttributeDeclarationReader.read(sections, diagnostics);
        long maxCost = readMaxCost(sections, diagnostics);
        ReaderContext context = new ReaderContext(names, maxCost, diagnostics, new Explanation());
        return new OperatorsFileReader(sections, declarations, context).read();
    }

    private static long readMaxCost(Sections sections, Diagnostics diagnostics) {
        if (!sections.hasSingle(SectionNames.MAX_COST)) {
            return DEFAULT_MAX_COST;
        }
        // The section (max-cost N) is written like a field and is read as one.
        Form.Sequence field = sections.getSingle(SectionNames.MAX_COST);
        Form.Sequence parent = new Form.Sequence(List.of(field), false, field.place());
        return new SectionFields(parent, 0, Set.of(SectionNames.MAX_COST), diagnostics)
                .integer(SectionNames.MAX_COST, 1, MAX_MAX_COST, DEFAULT_MAX_COST);
    }

    private OperatorsFile read() {
        QuicSection quic = sections.hasSingle(SectionNames.QUIC)
                ? QuicSectionReader.read(sections.getSingle(SectionNames.QUIC), context.names(), diagnostics)
                : null;
        RequestSchema requestSchema = new RequestSchema(
                maxLength(context.names().classNames()),
                maxLength(context.names().tenantNames()),
                declarations,
                AttributeDeclarationReader.MAX_LINE_LENGTH);
        definitions.check(requestSchema.schema(), endpointSchema.schema());
        Router router = readRouter(requestSchema);
        if (quic != null) {
            context.explanation().add(describe(quic));
        }
        return new OperatorsFile(router, quic, context.explanation());
    }

    /**
     * Returns the router; null only if the file declares no attributes, maximum lengths, classification
     * rules, pools or routes.
     */
    private Router readRouter(RequestSchema requestSchema) {
        ClassificationRules classification = null;
        if (sections.hasSingle(SectionNames.CLASSIFY)) {
            classification = new ClassificationReader(
                            requestSchema, definitions.newChecker(requestSchema.schema()), context)
                    .read(sections.getSingle(SectionNames.CLASSIFY));
        }
        PoolMembership pools = null;
        Routes routes = null;
        if (!sections.pools().isEmpty() || !sections.routes().isEmpty()) {
            PoolReader poolReader =
                    new PoolReader(endpointSchema, definitions.newChecker(endpointSchema.schema()), context);
            pools = poolReader.read(sections.pools());
            routes = sections.routes().isEmpty() ? null : readRoutes(requestSchema, poolReader.names());
        }
        boolean hasRules = classification != null || pools != null || declarations != AttributeDeclarations.NONE;
        return hasRules ? new Router(declarations, requestSchema, classification, pools, routes) : null;
    }

    private Routes readRoutes(RequestSchema requestSchema, Set<String> poolNames) {
        return new RouteReader(requestSchema, definitions.newChecker(requestSchema.schema()), poolNames, context)
                .read(sections.routes());
    }

    private static String describe(QuicSection quic) {
        String retry = quic.retry() == null
                ? "no retry"
                : "retry from " + quic.retry().on() + " connections with unvalidated addresses on";
        return "quic: listens on " + quic.listen() + " for class " + quic.requestClass() + ", "
                + quic.ids().size() + " configurations of ids, " + retry;
    }

    private static int maxLength(Set<String> names) {
        return names.stream().mapToInt(String::length).max().orElse(0);
    }
}
