package tulipshed.simadapter;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;

/**
 * The fields of a line that report on an established connection; {@link #readField} lists their external names. A
 * report of neither a load nor a latency is ignored.
 */
final class ConnectionReportFields {
    /** External value of {@code Sort} for a load. */
    private static final int KIND_LOAD = 1;

    /** External value of {@code Sort} for a latency. */
    private static final int KIND_LATENCY = 2;

    private int kind;
    private double value;

    /**
     * Reads the parser's current token as the value of the named field; returns false if it is not a field of a report.
     */
    boolean readField(JsonParser parser, String name) throws IOException {
        switch (name) {
            case "Sort" -> kind = (int) JsonTokens.integer(parser, name);
            case "Value" -> value = JsonTokens.number(parser, name);
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Whether {@link #value()} is a load, in microseconds of work per second. */
    boolean isLoad() {
        return kind == KIND_LOAD;
    }

    /** Whether {@link #value()} is a latency, in milliseconds. */
    boolean isLatency() {
        return kind == KIND_LATENCY;
    }

    /** Returns the reported value. */
    double value() {
        return value;
    }
}
