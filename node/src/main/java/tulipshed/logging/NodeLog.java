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
 * The log of one node: named loggers with levels whose records become lines of the form {@code LEVEL subject: message}.
 *
 * <p>The loggers are those of JBoss Logging, which XNIO brings, over the platform's {@code java.util.logging}. Each log
 * has a logger tree of its own, so that several nodes in one process, as in tests, keep their lines apart. Safe for use
 * by any thread; the sink is called on the thread that logs.
 */
public final class NodeLog {
    private static final AtomicInteger COUNT = new AtomicInteger();
    /** The platform's level of what is logged by {@link Logger#trace(Object)}. */
    private static final Level TRACE_LEVEL = Level.FINER;

    private static final NodeLog SILENT = new NodeLog("silent", Level.OFF, line -> {});

    /** Held here, as the platform keeps only weak references to loggers. */
    private final RootLogger root;

    private NodeLog(String name, Level level, Consumer<String> sink) {
        root = new RootLogger(name, level, new LineHandler(sink));
        LogManager.getLogManager().addLogger(root);
    }

    /** A log whose lines, of level INFO and above, go to {@code sink}. */
    public static NodeLog to(Consumer<String> sink) {
        return new NodeLog("tulipshed" + COUNT.incrementAndGet(), Level.INFO, sink);
    }

    /**
     * A log whose lines of all levels go to {@code sink}. Each line ends with the monotonic time at which it was logged, and
     * after {@code maxTraceLines} of level TRACE no more of them are written.
     *
     * @param nowMs the monotonic time, in milliseconds
     */
    public static NodeLog tracingTo(Consumer<String> sink, DoubleSupplier nowMs, int maxTraceLines) {
        return new NodeLog(
                "tulipshed" + COUNT.incrementAndGet(), TRACE_LEVEL, new TraceLimiter(sink, nowMs, maxTraceLines));
    }

    /** A log of which only lines of level ERROR go to {@code sink}. */
    public static NodeLog errorsTo(Consumer<String> sink) {
        return new NodeLog("tulipshed" + COUNT.incrementAndGet(), Level.SEVERE, sink);
    }

    /** A log that writes nothing. */
    public static NodeLog silent() {
        return SILENT;
    }

    /**
     * The logger for one subject, such as {@code discovery}; the same one at each call.
     *
     * @param subject one word without a dot, which opens the message of each line
     */
    public Logger logger(String subject) {
        return Logger.getLogger(root.getName() + '.' + subject);
    }

    /**
     * The root of one tree. It keeps its handler, also when the platform removes all handlers as the virtual machine
     * begins to shut down: what a node logs while it shuts down must not be lost.
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

    /** Formats records as lines and hands them on. */
    private static final class LineHandler extends Handler {
        private final Consumer<String> sink;

        LineHandler(Consumer<String> sink) {
            this.sink = sink;
        }

        @Override
        public void publish(LogRecord logged) {
            String name = logged.getLoggerName();
            String subject = name.substring(name.lastIndexOf('.') + 1);
            sink.accept(logged.getLevel() + " " + subject + ": " + logged.getMessage());
        }

        @Override
        public void flush() {
            // The sink writes each line as it comes.
        }

        @Override
        public void close() {
            // The sink belongs to whoever made the log.
        }
    }
}
