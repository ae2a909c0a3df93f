package tulipshed.lineprotocol;

import java.util.OptionalDouble;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.Outcome;

/**
 * What the messages of one endpoint say of its load, and of how the attempt ends. A malformed report is counted and
 * ignored; the message counts without it. Confined to the event-loop thread.
 */
final class EndpointReports {
    private final FrontendContext context;
    private EndpointMessage.Kind lastKind = EndpointMessage.Kind.UNKNOWN;
    private LoadReport finalReport = LoadReport.NONE;

    EndpointReports(FrontendContext context) {
        this.context = context;
    }

    /** Takes one message; returns the value that it reports of the connection, if it does. */
    OptionalDouble received(EndpointMessage message) {
        lastKind = message.kind();
        try {
            switch (message.kind()) {
                case LOAD_REPORT -> {
                    return OptionalDouble.of(LoadReportParser.parseValue(message.arguments()));
                }
                case COMPLETED, FAILED, REJECTED -> finalReport = parseInlineReport(message);
                default -> {}
            }
        } catch (MalformedLineException e) {
            context.upstreamErrors().record(e.getMessage());
        }
        return OptionalDouble.empty();
    }

    private LoadReport parseInlineReport(EndpointMessage message) {
        return context.core().expectsInlineLoadReports()
                ? LoadReportParser.parse(message.arguments())
                : LoadReport.NONE;
    }

    /** The last load report that came with a response; {@link LoadReport#NONE} if none did. */
    LoadReport finalReport() {
        return finalReport;
    }

    /** The outcome of an attempt that ends now: what the last message announced, or {@code otherwise}. */
    Outcome outcomeAtEnd(Outcome otherwise) {
        return switch (lastKind) {
            case COMPLETED -> Outcome.OK;
            case MIGRATING -> Outcome.CANCELLED;
            default -> otherwise;
        };
    }
}
