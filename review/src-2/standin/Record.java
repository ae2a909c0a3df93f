package standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: what was sent, answered and run, with the time since the start in milliseconds. */
public final class Record implements AutoCloseable {
    private static final long START_NS = System.nanoTime();

    private final PrintWriter out;

    public Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Milliseconds since the start of the run. */
    public static double nowMs() {
        return (System.nanoTime() - START_NS) / 1e6;
    }

    public synchronized void line(String format, Object... arguments) {
        out.println(String.format("%9.1f  ", nowMs()) + String.format(format, arguments));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
