package tulipshed.sexpr;

import java.util.Collection;

/** Suggests the known name that a misspelt one probably means. */
public final class NameSuggestions {
    private static final int MAX_NAME_LENGTH = 64; // characters; longer names are not compared
    private static final int MAX_DISTANCE = 3;
    private static final int CHARACTERS_PER_EDIT = 3;

    private NameSuggestions() {}

    /** Returns {@code "; did you mean X?"} for the nearest known name, or an empty string where none is near. */
    public static String hint(String name, Collection<String> known) {
        if (name.length() > MAX_NAME_LENGTH) {
            return "";
        }
        String nearest = null;
        int least = Math.min(MAX_DISTANCE, name.length() / CHARACTERS_PER_EDIT) + 1;
        for (String candidate : known) {
            int distance = candidate.length() > MAX_NAME_LENGTH ? MAX_NAME_LENGTH : distance(name, candidate);
            boolean firstOfEquals = distance == least && nearest != null && candidate.compareTo(nearest) < 0;
            if (distance < least || firstOfEquals) {
                least = distance;
                nearest = candidate;
            }
        }
        return nearest == null ? "" : "; did you mean " + nearest + "?";
    }

    /**
     * Returns the optimal string alignment distance (Damerau 1964): the least number of insertions, deletions,
     * substitutions and transpositions of neighbours.
     */
    static int distance(String first, String second) {
        int[][] distances = new int[first.length() + 1][second.length() + 1];
        for (int i = 0; i <= first.length(); i++) {
            for (int j = 0; j <= second.length(); j++) {
                distances[i][j] = i == 0 || j == 0 ? i + j : distance(first, second, i, j, distances);
            }
        }
        return distances[first.length()][second.length()];
    }

    /** Returns the distance of the first {@code i} and {@code j} characters from those of shorter prefixes. */
    private static int distance(String first, String second, int i, int j, int[][] distances) {
        int substitution = first.charAt(i - 1) == second.charAt(j - 1) ? 0 : 1;
        int insertionOrDeletion = Math.min(distances[i - 1][j], distances[i][j - 1]) + 1;
        int least = Math.min(distances[i - 1][j - 1] + substitution, insertionOrDeletion);
        boolean transposed = i > 1
                && j > 1
                && first.charAt(i - 1) == second.charAt(j - 2)
                && first.charAt(i - 2) == second.charAt(j - 1);
        return transposed ? Math.min(least, distances[i - 2][j - 2] + 1) : least;
    }
}
