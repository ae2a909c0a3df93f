package tulipshed.logging;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Appends the monotonic time to each line of a log and limits the number of lines of level TRACE. Safe for use by any
 * thread.
 */
final class TraceLimiter implements Consumer<String> {
    private static final String TRACE_PREFIX = "TRACE ";

    private final Consumer<String> sink;
    private final DoubleSupplier nowMs;
    private final AtomicInteger remainingTraceLines;

    /** Creates a limiter that passes lines to {@code sink}, at most {@code maxTraceLines} of them of level TRACE. */
    TraceLimiter(Consumer<String> sink, DoubleSupplier nowMs, int maxTraceLines) {
        this.sink = sink;
        this.nowMs = nowMs;
        remainingTraceLines = new AtomicInteger(maxTraceLines);
    }

    @Override
    public void accept(String line) {
        if (line.startsWith(TRACE_PREFIX) && remainingTraceLines.getAndDecrement() <= 0) {
            remainingTraceLines.set(0);
            return;
        }
        sink.accept(String.format(Locale.ROOT, "%s @%.3f ms", line, nowMs.getAsDouble()));
    }
}
