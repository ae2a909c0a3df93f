package tulipshed.logging;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import org.jboss.logging.Logger;

/**
 * The log of one node: named loggers with levels, whose records are written as lines of the form
 * {@code LEVEL subject: message}.
 *
 * <p>The loggers are those of JBoss Logging, a dependency of XNIO, on top of {@code java.util.logging}. Each log has its
 * own logger tree, so that the lines of several nodes in one process, as in tests, stay separate. Safe for use by any thread;
 * the sink is called on the thread that logs.
 */
public final class NodeLog {
    private static final AtomicInteger INSTANCE_COUNT = new AtomicInteger();
    /** The {@code java.util.logging} level of {@link Logger#trace(Object)}. */
    private static final Level TRACE_LEVEL = Level.FINER;

    private static final NodeLog SILENT = new NodeLog("silent", Level.OFF, line -> {});

    /** Strongly referenced here, since {@code java.util.logging} holds loggers by weak references only. */
    private final RootLogger root;

    private NodeLog(String name, Level level, Consumer<String> sink) {
        root = new RootLogger(name, level, new LineHandler(sink));
        LogManager.getLogManager().addLogger(root);
    }

    /** A log that writes lines of level INFO and above to {@code sink}. */
    public static NodeLog to(Consumer<String> sink) {
        return new NodeLog("tulipshed" + INSTANCE_COUNT.incrementAndGet(), Level.INFO, sink);
    }

    /**
     * A log that writes lines of all levels to {@code sink}, but at most {@code maxTraceLines} of level TRACE. Each line ends
     * with the monotonic time at which it was logged.
     *
     * @param nowMs the monotonic time, in milliseconds
     */
    public static NodeLog tracingTo(Consumer<String> sink, DoubleSupplier nowMs, int maxTraceLines) {
        return new NodeLog(
                "tulipshed" + INSTANCE_COUNT.incrementAndGet(),
                TRACE_LEVEL,
                new TraceLimiter(sink, nowMs, maxTraceLines));
    }

    /** A log that writes only lines of level ERROR and above to {@code sink}. */
    public static NodeLog errorsTo(Consumer<String> sink) {
        return new NodeLog("tulipshed" + INSTANCE_COUNT.incrementAndGet(), Level.SEVERE, sink);
    }

    /** A log that writes nothing. */
    public static NodeLog silent() {
        return SILENT;
    }

    /**
     * The logger for one subject, such as {@code discovery}; each call returns the same logger.
     *
     * @param subject one word without a dot, which precedes the message on each line
     */
    public Logger logger(String subject) {
        return Logger.getLogger(root.getName() + '.' + subject);
    }

    /**
     * The root of one logger tree. Keeps its handler even when {@code java.util.logging} removes all handlers as the virtual
     * machine begins to shut down: lines that a node logs during its shutdown must not be lost.
     */
    private static final class RootLogger extends java.util.logging.Logger {
        private final Handler handler;

        RootLogger(String name, Level level, Handler handler) {
            super(name, null);
            this.handler = handler;
            setUseParentHandlers(false);
            setLevel(level);
        }

        @Override
        public Handler[] getHandlers() {
            return new Handler[] {handler};
        }
    }

    /** Formats records as lines and passes them to the sink. */
    private static final class LineHandler extends Handler {
        private final Consumer<String> sink;

        LineHandler(Consumer<String> sink) {
            this.sink = sink;
        }

        @Override
        public void publish(LogRecord logRecord) {
            String name = logRecord.getLoggerName();
            String subject = name.substring(name.lastIndexOf('.') + 1);
            sink.accept(logRecord.getLevel() + " " + subject + ": " + logRecord.getMessage());
        }

        @Override
        public void flush() {
            // The sink is unbuffered.
        }

        @Override
        public void close() {
            // The sink is owned by the creator of the log.
        }
    }
}
