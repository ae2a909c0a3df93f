package tulipshed.emulator.scenario;

import java.util.Collections;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import tulipshed.sexpr.NameSuggestions;

/** Figures that replace those of a scenario file, by path, such as {@code clients.per-second}. */
public final class Overrides {
    public static final Overrides NONE = new Overrides(Map.of());

    private final TreeMap<String, String> values;
    private final Set<String> knownPaths = new TreeSet<>();
    private final Set<String> usedPaths = new HashSet<>();

    public Overrides(Map<String, String> values) {
        this.values = new TreeMap<>(values);
    }

    /** What replaces the figure at a path, or null. */
    String take(String path) {
        knownPaths.add(path);
        String value = values.get(path);
        if (value != null) {
            usedPaths.add(path);
        }
        return value;
    }

    /** What was given and no scenario asked for, with the nearest known path; empty where all was used. */
    String unused() {
        StringBuilder out = new StringBuilder();
        for (String path : values.keySet()) {
            if (!usedPaths.contains(path)) {
                out.append(out.length() == 0 ? "" : "\n")
                        .append("nothing is called ")
                        .append(path)
                        .append(NameSuggestions.hint(path, knownPaths));
            }
        }
        return out.toString();
    }

    public Map<String, String> values() {
        return Collections.unmodifiableSortedMap(values);
    }

    @Override
    public String toString() {
        return values.toString();
    }
}
