package tulipshed.sexpr;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/** The errors of one file, reported together: the first ones, and how many more there are. */
public final class Diagnostics {
    /** The number of errors that are reported; further ones are counted. */
    public static final int MAX_REPORTED = 20;

    private static final Comparator<Diagnostic> BY_PLACE = Comparator.<Diagnostic>comparingInt(
                    diagnostic -> diagnostic.place().line())
            .thenComparingInt(diagnostic -> diagnostic.place().column());

    private final String file;
    private final List<Diagnostic> reported = new ArrayList<>();
    private int count;

    /** Creates the empty diagnostics of the file with this name. */
    public Diagnostics(String file) {
        this.file = file;
    }

    /** Adds an error; the same at the same place counts once, because a definition may be checked at many uses. */
    public void add(SourcePosition place, String message) {
        Diagnostic diagnostic = new Diagnostic(file, place, message);
        if (!reported.contains(diagnostic) && count++ < MAX_REPORTED) {
            reported.add(diagnostic);
        }
    }

    /** Adds all reported errors of the same file. */
    public void addAll(Diagnostics other) {
        other.reported.forEach(diagnostic -> add(diagnostic.place(), diagnostic.message()));
    }

    /** Whether there are no errors. */
    public boolean none() {
        return count == 0;
    }

    /** Returns how many errors there are, reported or not. */
    public int count() {
        return count;
    }

    /** Returns the reported errors by position. */
    public List<Diagnostic> list() {
        List<Diagnostic> sorted = new ArrayList<>(reported);
        sorted.sort(BY_PLACE);
        return Collections.unmodifiableList(sorted);
    }

    /** Returns a line for each reported error, and a last one where there are more. */
    @Override
    public String toString() {
        List<String> lines = new ArrayList<>();
        list().forEach(diagnostic -> lines.add(diagnostic.toString()));
        if (count > MAX_REPORTED) {
            lines.add(file + ": and " + (count - MAX_REPORTED) + " more");
        }
        return String.join("\n", lines);
    }
}
