package tulipshed.lineprotocol;

import java.util.OptionalDouble;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.Outcome;

/**
 * The load reports in the messages of one endpoint, and the outcome that they announce for the attempt. A malformed report
 * is counted and ignored; the rest of its message still applies. Confined to the event-loop thread.
 */
final class EndpointReports {
    private final FrontendContext context;
    private EndpointMessage.Kind lastKind = EndpointMessage.Kind.UNKNOWN;
    private LoadReport finalReport = LoadReport.NONE;

    EndpointReports(FrontendContext context) {
        this.context = context;
    }

    /** Processes one message; returns the value of a {@code LOAD} line, empty for any other message. */
    OptionalDouble processMessage(EndpointMessage message) {
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

    /** The load report of the last response; {@link LoadReport#NONE} if there was none. */
    LoadReport finalReport() {
        return finalReport;
    }

    /** The outcome of an attempt that ends now: the one announced by the last message, or {@code defaultOutcome}. */
    Outcome outcomeAtEnd(Outcome defaultOutcome) {
        return switch (lastKind) {
            case COMPLETED -> Outcome.OK;
            case MIGRATING -> Outcome.CANCELLED;
            default -> defaultOutcome;
        };
    }
}
