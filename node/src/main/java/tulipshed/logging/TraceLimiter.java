package tulipshed.logging;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/** Adds the monotonic time to each line of a log and bounds its lines of level TRACE. Safe for use by any thread. */
final class TraceLimiter implements Consumer<String> {
    private static final String TRACE_PREFIX = "TRACE ";

    private final Consumer<String> sink;
    private final DoubleSupplier nowMs;
    private final AtomicInteger traceLinesLeft;

    /** Lines go to {@code sink}, and at most {@code maxTraceLines} of them have level TRACE. */
    TraceLimiter(Consumer<String> sink, DoubleSupplier nowMs, int maxTraceLines) {
        this.sink = sink;
        this.nowMs = nowMs;
        traceLinesLeft = new AtomicInteger(maxTraceLines);
    }

    @Override
    public void accept(String line) {
        if (line.startsWith(TRACE_PREFIX) && traceLinesLeft.getAndDecrement() <= 0) {
            traceLinesLeft.set(0);
            return;
        }
        sink.accept(String.format(Locale.ROOT, "%s @%.3f ms", line, nowMs.getAsDouble()));
    }
}
