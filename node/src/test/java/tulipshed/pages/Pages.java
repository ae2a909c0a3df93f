package tulipshed.pages;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The pages of the repository and the sources that they speak of. */
final class Pages {
    /** The root of the repository, seen from the module whose tests run. */
    static final Path ROOT = Path.of("..");

    static final Path DOCS = ROOT.resolve("docs");
    static final Path ARCHITECTURE = DOCS.resolve("architecture.md");
    static final Path ON_CALL = DOCS.resolve("on-call.md");
    static final Path NODE_SOURCES = ROOT.resolve("node/src/main/java/tulipshed");
    static final Path EMULATOR_SOURCES = ROOT.resolve("emulator/src/main/java/tulipshed/emulator");

    private static final List<Path> OUTSIDE_DOCS = List.of(
            ROOT.resolve("README.md"),
            ROOT.resolve("CONTRIBUTING.md"),
            ROOT.resolve("CHANGELOG.md"),
            ROOT.resolve("example/README.md"));
    private static final Pattern FENCED_BLOCK = Pattern.compile("(?ms)^```.*?^```");
    private static final Pattern INDENTED_LINE = Pattern.compile("(?m)^ {4,}\\S.*$");

    private Pages() {}

    /** All pages that are written for readers. */
    static List<Path> all() {
        List<Path> pages = new ArrayList<>(OUTSIDE_DOCS);
        pages.addAll(filesBelow(DOCS, ".md"));
        return pages;
    }

    /** The text of a page without its blocks of code and commands. */
    static String prose(Path page) {
        String withoutFences = FENCED_BLOCK.matcher(read(page)).replaceAll("");
        return INDENTED_LINE.matcher(withoutFences).replaceAll("");
    }

    /** The files below a folder whose names end so, sorted. */
    static List<Path> filesBelow(Path folder, String suffix) {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(file -> file.toString().endsWith(suffix))
                    .sorted()
                    .collect(Collectors.toList());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The content of a file. */
    static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
