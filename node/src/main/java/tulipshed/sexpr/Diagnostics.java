package tulipshed.sexpr;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** What is wrong with one file, told at once: the first twenty, and how many more there are. */
public final class Diagnostics {
    /** Told at most. */
    public static final int MOST = 20;

    private final String file;
    private final List<Diagnostic> first = new ArrayList<>();
    private int count;

    /** No problems yet of the file with this name. */
    public Diagnostics(String file) {
        this.file = file;
    }

    /** Notes one; the same at the same place counts once, as a define may be used in many rules. */
    public void add(SourcePosition place, String message) {
        Diagnostic problem = new Diagnostic(file, place, message);
        if (!first.contains(problem) && count++ < MOST) {
            first.add(problem);
        }
    }

    /** Notes all that another noted of the same file. */
    public void addAll(Diagnostics other) {
        other.first.forEach(p -> add(p.place(), p.message()));
    }

    /** Whether there are none. */
    public boolean none() {
        return count == 0;
    }

    /** How many there are, told or not. */
    public int count() {
        return count;
    }

    /** The first of them, in the order of their places. */
    public List<Diagnostic> list() {
        List<Diagnostic> sorted = new ArrayList<>(first);
        sorted.sort((a, b) -> a.place().line() != b.place().line()
                ? Integer.compare(a.place().line(), b.place().line())
                : Integer.compare(a.place().column(), b.place().column()));
        return Collections.unmodifiableList(sorted);
    }

    /** One line a problem, and a last one where there are more than are told. */
    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        for (Diagnostic p : list()) {
            out.append(out.length() == 0 ? "" : "\n").append(p);
        }
        return count > MOST
                ? out.append("\n")
                        .append(file)
                        .append(": and ")
                        .append(count - MOST)
                        .append(" more")
                        .toString()
                : out.toString();
    }
}
