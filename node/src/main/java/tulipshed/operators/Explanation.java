package tulipshed.operators;

import java.util.ArrayList;
import java.util.List;

/** A human-readable description of the content of an operators' file, in lines. */
public final class Explanation {
    private final List<String> lines = new ArrayList<>();

    void add(String line) {
        lines.add(line);
    }

    void addAll(String indent, List<String> added) {
        added.forEach(line -> lines.add(indent + line));
    }

    /** Returns the lines. */
    public List<String> lines() {
        return List.copyOf(lines);
    }
}
