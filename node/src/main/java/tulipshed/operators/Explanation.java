package tulipshed.operators;

import java.util.ArrayList;
import java.util.List;

/** What was read from an operators' file, described in lines for operators. */
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
