package tulipshed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The pages name tests as the proof of what they say, so a test that is renamed or removed must not stay named there. */
class DocumentedTestsTest {
    private static final Path PAGES = Path.of("../docs");
    private static final List<Path> TEST_SOURCES =
            List.of(Path.of("src/test/java"), Path.of("../emulator/src/test/java"));
    private static final Pattern NAMED_TEST = Pattern.compile("\\b([A-Z]\\w*Test)\\b(?:\\.([a-z]\\w*))?");
    private static final int FEWEST_NAMED_METHODS = 100;

    /** The source of each test class by its name; two packages may have a class of one name. */
    private final Map<String, String> testSources = TEST_SOURCES.stream()
            .flatMap(folder -> filesBelow(folder, "Test.java"))
            .collect(Collectors.toMap(
                    file -> file.getFileName().toString().replace(".java", ""),
                    DocumentedTestsTest::read,
                    String::concat));

    private static Stream<Path> filesBelow(Path folder, String suffix) {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(file -> file.toString().endsWith(suffix)).toList().stream();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private boolean exists(String testClass, String method) {
        String source = testSources.get(testClass);
        return source != null && (method == null || source.contains("void " + method + "("));
    }

    @Test
    void everyTestThatAPageNamesExists() {
        Set<String> missing = new TreeSet<>();
        int namedMethods = 0;
        for (Path page : filesBelow(PAGES, ".md").toList()) {
            Matcher named = NAMED_TEST.matcher(read(page));
            while (named.find()) {
                namedMethods += named.group(2) == null ? 0 : 1;
                if (!exists(named.group(1), named.group(2))) {
                    missing.add(page.getFileName() + ": " + named.group());
                }
            }
        }
        assertEquals(Set.of(), missing);
        assertTrue(namedMethods >= FEWEST_NAMED_METHODS, "names found in the pages: " + namedMethods);
    }
}
