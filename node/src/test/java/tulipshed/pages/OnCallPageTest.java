package tulipshed.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Every line that a node can log stands on the page for staff on call, and every line of the page in the code. */
class OnCallPageTest {
    private static final Pattern LOG_CALL =
            Pattern.compile("\\b\\w*[lL]og(?:ger)?\\.(info|warn|error)\\((.*?)\\);", Pattern.DOTALL);
    private static final Pattern STRING = Pattern.compile("\"((?:\\\\.|[^\"\\\\])*)\"");
    private static final Pattern PAGE_ROW = Pattern.compile("(?m)^\\| (`(?:INFO|WARN|ERROR) [^|]*) \\|.*$");
    private static final Pattern PAGE_LINE = Pattern.compile("`((?:INFO|WARN|ERROR) \\w+: )?([^`]+)`");

    /** What a line of the page leaves open: names in capitals, numbers, and dots for what stands in the line before. */
    private static final Pattern PLACEHOLDER = Pattern.compile("\\b[A-Z]+\\b|\\b\\d+\\b|\\.\\.\\.|[:,;] ");

    private static final Pattern PUNCTUATION_AT_THE_END = Pattern.compile("[:,;]?\\s*$");
    private static final Pattern LOG_SUBJECT =
            Pattern.compile("(?:\\.logger\\(|LOG_SUBJECT = |new ProtocolErrorLog\\(\\s*)\"(\\w+)\"");

    private static final int SHORTEST_FRAGMENT = 5;
    private static final int FEWEST_LOG_CALLS = 20;

    private final String page = Pages.read(Pages.ON_CALL);
    private final List<String> sources = Pages.filesBelow(Pages.NODE_SOURCES, ".java").stream()
            .filter(file -> !file.startsWith(Pages.NODE_SOURCES.resolve("demo")))
            .map(Pages::read)
            .toList();

    @Test
    void everyLoggedTextStandsOnThePageWithItsLevel() {
        Set<String> missing = new TreeSet<>();
        int calls = 0;
        for (String source : sources) {
            Matcher call = LOG_CALL.matcher(source);
            while (call.find()) {
                calls++;
                String level = call.group(1).toUpperCase(Locale.ROOT);
                Matcher text = STRING.matcher(call.group(2));
                while (text.find()) {
                    String fragment = withoutPunctuation(text.group(1));
                    if (fragment.length() >= SHORTEST_FRAGMENT && !isOnPage(level, fragment)) {
                        missing.add(level + " " + fragment);
                    }
                }
            }
        }
        assertEquals(Set.of(), missing);
        assertTrue(calls >= FEWEST_LOG_CALLS, "log calls found: " + calls);
    }

    @Test
    void everyLineOfThePageIsLoggedSomewhere() {
        String logged = literals();
        Set<String> missing = new TreeSet<>();
        Matcher row = PAGE_ROW.matcher(page);
        while (row.find()) {
            Matcher line = PAGE_LINE.matcher(row.group(1));
            while (line.find()) {
                for (String fragment : PLACEHOLDER.split(line.group(2))) {
                    String text = withoutPunctuation(fragment);
                    if (text.length() >= SHORTEST_FRAGMENT && !isLogged(logged, text)) {
                        missing.add(text);
                    }
                }
            }
        }
        assertEquals(Set.of(), missing);
    }

    private boolean isOnPage(String level, String fragment) {
        return page.lines()
                .filter(line -> line.startsWith("| `" + level + " "))
                .anyMatch(line -> line.replaceAll("[A-Z]{2,}", "").contains(fragment.replaceAll("[A-Z]{2,}", "")));
    }

    /** All string literals of the sources, adjacent ones joined as the compiler joins them. */
    private String literals() {
        Pattern joined = Pattern.compile("\"\\s*\\+\\s*\"");
        return sources.stream()
                .map(source -> joined.matcher(source).replaceAll(""))
                .flatMap(source -> STRING.matcher(source).results())
                .map(found -> found.group(1))
                .collect(Collectors.joining("\n"));
    }

    @Test
    void thePageHasARowForEachSubjectThatTheNodeLogs() {
        Set<String> subjects = sources.stream()
                .flatMap(source -> LOG_SUBJECT.matcher(source).results())
                .map(found -> found.group(1))
                .collect(Collectors.toCollection(TreeSet::new));
        Set<String> onPage = Pattern.compile("(?m)^\\| `(?:INFO|WARN|ERROR) (\\w+):")
                .matcher(page)
                .results()
                .map(found -> found.group(1))
                .collect(Collectors.toCollection(TreeSet::new));
        assertEquals(subjects, onPage);
    }

    private static String withoutPunctuation(String fragment) {
        return PUNCTUATION_AT_THE_END.matcher(fragment.strip()).replaceAll("").replaceAll("^[:,;.]+ ?", "");
    }

    /** Whether a text stands in one literal, or is put together from two. */
    private static boolean isLogged(String literals, String text) {
        if (literals.contains(text)) {
            return true;
        }
        for (int space = text.indexOf(' '); space >= 0; space = text.indexOf(' ', space + 1)) {
            if (literals.contains(text.substring(0, space)) && literals.contains(text.substring(space + 1))) {
                return true;
            }
        }
        return false;
    }
}
