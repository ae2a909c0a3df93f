package tulipshed.sexpr;

import java.util.Collection;

/** Finds the name that was probably meant. */
public final class NameSuggestions {
    private static final int LONGEST = 64;

    private NameSuggestions() {}

    /** {@code "; did you mean X?"} for the nearest of the known names, or nothing where none is near. */
    public static String hint(String name, Collection<String> known) {
        String best = null;
        int least = Math.min(3, name.length() / 3) + 1;
        if (name.length() <= LONGEST) {
            for (String k : known) {
                int d = k.length() > LONGEST ? LONGEST : distance(name, k);
                if (d < least || (d == least && best != null && k.compareTo(best) < 0)) {
                    least = d;
                    best = k;
                }
            }
        }
        return best == null ? "" : "; did you mean " + best + "?";
    }

    /** Letters to add, leave out, change or swap with the next, at least. */
    static int distance(String a, String b) {
        int[][] d = new int[a.length() + 1][b.length() + 1];
        for (int i = 0; i <= a.length(); i++) {
            for (int j = 0; j <= b.length(); j++) {
                if (i == 0 || j == 0) {
                    d[i][j] = i + j;
                    continue;
                }
                int change = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                d[i][j] = Math.min(d[i - 1][j - 1] + change, Math.min(d[i - 1][j], d[i][j - 1]) + 1);
                if (i > 1 && j > 1 && a.charAt(i - 1) == b.charAt(j - 2) && a.charAt(i - 2) == b.charAt(j - 1)) {
                    d[i][j] = Math.min(d[i][j], d[i - 2][j - 2] + 1);
                }
            }
        }
        return d[a.length()][b.length()];
    }
}
