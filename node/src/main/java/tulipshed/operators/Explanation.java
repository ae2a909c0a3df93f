package tulipshed.operators;

import java.util.ArrayList;
import java.util.List;

/** What was understood of an operators' file, in lines for people. */
public final class Explanation {
    private final List<String> lines = new ArrayList<>();

    void add(String line) {
        lines.add(line);
    }

    void addAll(String indent, List<String> more) {
        more.forEach(l -> lines.add(indent + l));
    }

    /** The lines. */
    public List<String> lines() {
        return List.copyOf(lines);
    }
}
