package tulipshed.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** What a page links to or names as a file of the repository is there. */
class PageLinksTest {
    private static final Pattern LINK = Pattern.compile("\\]\\(([^)#\\s]+)(?:#[^)]*)?\\)");
    private static final Pattern NAMED_FILE =
            Pattern.compile("`((?:\\.\\./)?[\\w./-]+\\.(?:md|java|sexp|yaml|toml|xml|sh|json))`");
    private static final int FEWEST_NAMED_FILES = 100;

    /** The journal and the releases before a file was removed: the changelog may name what is no longer there. */
    private static final Path HISTORY = Pages.ROOT.resolve("CHANGELOG.md");

    @Test
    void everyLinkedFileExists() {
        Set<String> missing = new TreeSet<>();
        for (Path page : Pages.all()) {
            Matcher link = LINK.matcher(Pages.prose(page));
            while (link.find()) {
                String target = link.group(1);
                if (!target.contains("://") && !Files.exists(page.resolveSibling(target))) {
                    missing.add(page + ": " + target);
                }
            }
        }
        assertEquals(Set.of(), missing);
    }

    @Test
    void everyNamedFileExists() {
        List<String> sources = Pages.filesBelow(Pages.ROOT.resolve("node/src"), "").stream()
                .map(Path::toString)
                .toList();
        List<String> emulatorSources = Pages.filesBelow(Pages.ROOT.resolve("emulator/src"), "").stream()
                .map(Path::toString)
                .toList();
        Set<String> missing = new TreeSet<>();
        int named = 0;
        for (Path page : Pages.all()) {
            if (page.equals(HISTORY)) {
                continue;
            }
            Matcher file = NAMED_FILE.matcher(Pages.prose(page));
            while (file.find()) {
                named++;
                String name = file.group(1);
                boolean exists = Files.exists(page.resolveSibling(name))
                        || Files.exists(Pages.ROOT.resolve(name))
                        || sources.stream().anyMatch(source -> source.endsWith("/" + name))
                        || emulatorSources.stream().anyMatch(source -> source.endsWith("/" + name));
                if (!exists) {
                    missing.add(page.getFileName() + ": " + name);
                }
            }
        }
        assertEquals(Set.of(), missing);
        assertTrue(named >= FEWEST_NAMED_FILES, "files named on the pages: " + named);
    }
}
