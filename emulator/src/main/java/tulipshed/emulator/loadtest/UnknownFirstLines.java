package tulipshed.emulator.loadtest;

import java.util.Optional;

/** First lines at endpoints that belong to no request of the run. For the run's thread. */
public final class UnknownFirstLines {
    private String first;
    private long count;

    /** Adds a line. */
    void add(String line) {
        first = first == null ? line : first;
        count++;
    }

    /** How many there are. */
    public long count() {
        return count;
    }

    /** The first of them. */
    public Optional<String> first() {
        return Optional.ofNullable(first);
    }
}
