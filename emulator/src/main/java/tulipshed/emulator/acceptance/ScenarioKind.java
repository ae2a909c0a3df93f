package tulipshed.emulator.acceptance;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** The kinds of day, by the operators' names. */
public enum ScenarioKind {
    /** No fault; a burst, and traffic that shifts between zones. */
    CALM,
    /** Half of the members replaced in steps while all nodes are restarted by tenths, and discovery moves. */
    ROLL,
    /** A release: most nodes killed at once, and discovery has too many callers; one of eight members is bad. */
    HERD,
    /** A zone of members lost and back cold, another cut off; one of eight members is bad. */
    ZONE,
    /** A zone cut off or a fifth of the members silent, late lists, answers lost, connections reset under requests. */
    SPLIT,
    /** Six in ten members replaced within 7 s; clients that leave early or come too often, spoilt answers. */
    JOIN;

    /** The name on the command line. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** All names, in the order in which they are played. */
    public static List<String> words() {
        return Arrays.stream(values()).map(ScenarioKind::word).toList();
    }

    /**
     * The kind with a name.
     *
     * @throws IllegalArgumentException where there is none, with the nearest
     */
    public static ScenarioKind of(String word) {
        return Arrays.stream(values())
                .filter(k -> k.word().equals(word))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no day is called " + word + "; expected one of "
                        + String.join(", ", words()) + tulipshed.sexpr.NameSuggestions.hint(word, words())));
    }
}
