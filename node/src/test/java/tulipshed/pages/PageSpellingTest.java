package tulipshed.pages;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import morfologik.speller.Speller;
import morfologik.stemming.Dictionary;
import org.junit.jupiter.api.Test;

/**
 * The words of the pages stand in a British or American dictionary, or in the project's own list of terms,
 * docs/dictionary.txt. Code, commands and names in capitals are left out.
 */
class PageSpellingTest {
    private static final String DICTIONARIES = "/org/languagetool/resource/en/hunspell/";
    private static final Path OWN_TERMS = Pages.DOCS.resolve("dictionary.txt");

    private static final Pattern INLINE_CODE = Pattern.compile("`[^`]*`");
    private static final Pattern LINK_TARGET = Pattern.compile("\\]\\([^)]*\\)");
    private static final Pattern WORD = Pattern.compile("(?<![\\w/.@-])[A-Za-z]+(?:'[a-z]+)?(?![\\w/@])");
    private static final Pattern LOWER_OR_CAPITALIZED = Pattern.compile("[A-Za-z][a-z']+");
    private static final Pattern DOUBLED_WORD = Pattern.compile("\\b([a-z]{2,}) \\1\\b");
    private static final int FEWEST_WORDS = 10_000;

    private final List<Speller> spellers = List.of(speller("en_GB"), speller("en_US"));
    private final Set<String> ownTerms = Pages.read(OWN_TERMS)
            .lines()
            .filter(line -> !line.isBlank() && !line.startsWith("#"))
            .collect(Collectors.toSet());

    @Test
    void everyWordIsInADictionary() {
        Set<String> unknown = new TreeSet<>();
        int words = 0;
        for (Path page : Pages.all()) {
            Matcher word = WORD.matcher(text(page));
            while (word.find()) {
                words++;
                if (LOWER_OR_CAPITALIZED.matcher(word.group()).matches() && !isKnown(word.group())) {
                    unknown.add(word.group() + " (" + page.getFileName() + ")");
                }
            }
        }
        assertEquals(Set.of(), unknown);
        assertTrue(words >= FEWEST_WORDS, "words read: " + words);
    }

    @Test
    void noWordStandsTwiceInARow() {
        Set<String> doubled = new TreeSet<>();
        for (Path page : Pages.all()) {
            Matcher found = DOUBLED_WORD.matcher(text(page));
            while (found.find()) {
                doubled.add(found.group() + " (" + page.getFileName() + ")");
            }
        }
        assertEquals(Set.of(), doubled);
    }

    private static String text(Path page) {
        String withoutCode = INLINE_CODE.matcher(Pages.prose(page)).replaceAll(" ; ");
        return LINK_TARGET.matcher(withoutCode).replaceAll("] ");
    }

    private boolean isKnown(String word) {
        String singular = word.replaceAll("'s?$", "");
        String lower = singular.toLowerCase(Locale.ROOT);
        return ownTerms.contains(singular)
                || ownTerms.contains(lower)
                || spellers.stream()
                        .anyMatch(speller -> !speller.isMisspelled(singular) || !speller.isMisspelled(lower));
    }

    private static Speller speller(String language) {
        try {
            return new Speller(
                    Dictionary.read(PageSpellingTest.class.getResource(DICTIONARIES + language + ".dict")), 1);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
