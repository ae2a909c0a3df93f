package tulipshed.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The architecture page names every package of both modules, and only files that exist. */
class ArchitecturePageTest {
    private static final Pattern PACKAGE_ROW = Pattern.compile("(?m)^\\| `([a-z.]+)` \\|");
    private static final Pattern ON_CALL_ROW = Pattern.compile("(?m)^\\| [^|`]+\\? \\| `([\\w/]+\\.java)`");
    private static final int FEWEST_ON_CALL_QUESTIONS = 8;

    private final String page = Pages.read(Pages.ARCHITECTURE);

    @Test
    void everyPackageOfTheNodeAndTheEmulatorHasARow() {
        Set<String> packages = packagesBelow(Pages.NODE_SOURCES, "");
        packages.addAll(packagesBelow(Pages.EMULATOR_SOURCES, "emulator."));

        assertEquals(packages, packageRows());
    }

    @Test
    void eachQuestionOnCallLeadsToAFileThatExists() {
        Set<String> missing = new TreeSet<>();
        int questions = 0;
        Matcher row = ON_CALL_ROW.matcher(page);
        while (row.find()) {
            questions++;
            if (!Files.isRegularFile(Pages.NODE_SOURCES.resolve(row.group(1)))) {
                missing.add(row.group(1));
            }
        }
        assertEquals(Set.of(), missing);
        assertTrue(questions >= FEWEST_ON_CALL_QUESTIONS, "questions on the page: " + questions);
    }

    private Set<String> packageRows() {
        Set<String> named = new TreeSet<>();
        Matcher row = PACKAGE_ROW.matcher(page);
        while (row.find()) {
            named.add(row.group(1));
        }
        return named;
    }

    private static Set<String> packagesBelow(Path sources, String prefix) {
        Set<String> packages = new TreeSet<>();
        for (Path file : Pages.filesBelow(sources, "package-info.java")) {
            Path folder = sources.relativize(file).getParent();
            packages.add(prefix + folder.toString().replace('/', '.'));
        }
        return packages;
    }
}
