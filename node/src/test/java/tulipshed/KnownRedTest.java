package tulipshed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** CI passes over the tests that KNOWN-RED.txt names, and over no other: an entry and a tag belong together. */
class KnownRedTest {
    private static final Path KNOWN_RED = Path.of("../KNOWN-RED.txt");
    private static final Path BUILD = Path.of("../pom.xml");
    private static final List<Path> TEST_SOURCES =
            List.of(Path.of("src/test/java"), Path.of("../emulator/src/test/java"));
    private static final List<String> FIELDS = List.of("case", "command", "seed", "seen", "issue");

    private static final String TAG = "@Tag(\"known-red\")";
    private static final Pattern TAGGED_METHOD = Pattern.compile(Pattern.quote(TAG) + "[^{};]*?\\bvoid (\\w+)\\(");
    private static final Pattern EXCLUDED_GROUPS = Pattern.compile("<excludedGroups>([^<]*)</excludedGroups>");

    @Test
    void eachEntryHasAllFieldsInOrder() throws IOException {
        for (List<String> entry : entries()) {
            List<String> names =
                    entry.stream().map(line -> line.split(": ", 2)[0]).toList();
            assertEquals(FIELDS, names, entry.get(0));
            assertTrue(
                    entry.stream().allMatch(line -> line.split(": ", 2).length == 2),
                    "a field is empty: " + entry.get(0));
        }
    }

    @Test
    void eachEntryOfATestHasItsTagAndEachTagItsEntry() throws IOException {
        Set<String> listed = new TreeSet<>();
        for (List<String> entry : entries()) {
            String name = entry.get(0).substring("case: ".length());
            if (name.startsWith("test ")) {
                listed.add(name.substring("test ".length()));
            } else {
                assertTrue(name.startsWith("bench "), name);
            }
        }
        assertEquals(listed, taggedTests());
    }

    @Test
    void theBuildPassesOverThatTagAlone() throws IOException {
        Matcher groups = EXCLUDED_GROUPS.matcher(Files.readString(BUILD));
        assertTrue(groups.find(), "the build excludes no group");
        assertEquals("known-red", groups.group(1));
        assertTrue(!groups.find(), "the build excludes groups in a second place");
    }

    private static List<List<String>> entries() throws IOException {
        List<List<String>> entries = new ArrayList<>();
        for (String line : Files.readAllLines(KNOWN_RED)) {
            if (line.isEmpty() || line.startsWith("#")) {
                continue;
            }
            if (line.startsWith("case: ")) {
                entries.add(new ArrayList<>());
            }
            entries.get(entries.size() - 1).add(line);
        }
        return entries;
    }

    /** Only methods are tagged: a tag on a class would hide all of its tests. */
    private static Set<String> taggedTests() throws IOException {
        Set<String> tagged = new TreeSet<>();
        for (Path file : testSources()) {
            String source = Files.readString(file);
            int tags = source.split(Pattern.quote(TAG), -1).length - 1;
            Matcher method = TAGGED_METHOD.matcher(source);
            int methods = 0;
            while (method.find()) {
                tagged.add(file.getFileName().toString().replace(".java", "") + "." + method.group(1));
                methods++;
            }
            assertEquals(tags, methods, "tags in " + file);
        }
        return tagged;
    }

    private static List<Path> testSources() throws IOException {
        List<Path> sources = new ArrayList<>();
        for (Path folder : TEST_SOURCES) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.filter(file -> file.toString().endsWith(".java"))
                        .filter(file -> !file.endsWith("KnownRedTest.java"))
                        .forEach(sources::add);
            }
        }
        return sources;
    }
}
