package tulipshed.routing;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import tulipshed.expression.Type;

/**
 * Which further figures a transaction may carry and how long its texts may be. A front turns down as malformed what does
 * not keep to them, so that no expression ever sees it.
 */
public final class Declarations {
    /** Nothing declared: figures are passed over and texts are as long as a line. */
    public static final Declarations NONE = new Declarations(Map.of(), Integer.MAX_VALUE, Integer.MAX_VALUE);

    private static final int LONGEST_NUMBER = 20;

    private final Map<String, Figure> figures;
    private final int longestKey;
    private final int longestGroup;

    /** A further figure: its type, and for a string its length at most. */
    public record Figure(Type type, int longest) {}

    /** Declares these further figures by name; the longest key and group are in characters. */
    public Declarations(Map<String, Figure> figures, int longestKey, int longestGroup) {
        this.figures = Collections.unmodifiableMap(new LinkedHashMap<>(figures));
        this.longestKey = longestKey;
        this.longestGroup = longestGroup;
    }

    /** The declared figures by name, in the order declared. */
    public Map<String, Figure> figures() {
        return figures;
    }

    /** A key's characters at most. */
    public int longestKey() {
        return longestKey;
    }

    /** A group's characters at most. */
    public int longestGroup() {
        return longestGroup;
    }

    /** The value of a declared figure, or null where the text is not of its type or too long. */
    public Object read(String name, String text) {
        Figure f = figures.get(name);
        switch (f.type()) {
            case STRING:
                return text.length() <= f.longest() ? text : null;
            case BOOLEAN:
                return (text.equals("1") || text.equals("true"))
                        ? Boolean.TRUE
                        : (text.equals("0") || text.equals("false")) ? Boolean.FALSE : null;
            default:
                break;
        }
        if (text.length() > LONGEST_NUMBER
                || !text.matches(f.type() == Type.INTEGER ? "-?[0-9]+" : "-?[0-9]+(\\.[0-9]+)?")) {
            return null;
        }
        try {
            return f.type() == Type.INTEGER ? (Object) Long.parseLong(text) : (Object) Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
