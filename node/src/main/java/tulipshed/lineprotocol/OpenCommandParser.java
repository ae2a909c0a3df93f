package tulipshed.lineprotocol;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import tulipshed.config.NameIndex;
import tulipshed.routing.AttributeDeclarations;

/**
 * Parses the syntax of open commands; the fields are interpreted by {@link OpenCommandBuilder}.
 *
 * @param names the classes and tenants of the settings
 * @param declarations the additional attributes that the operators' file declares
 * @param maxTimeoutMs the maximum timeout of a new connection
 */
record OpenCommandParser(NameIndex names, AttributeDeclarations declarations, double maxTimeoutMs) {
    /** The command word on the wire. */
    private static final String OPEN_WORD = "OPEN";

    private static final int WORD_COUNT = 4; // OPEN ID KEY FIELDS
    private static final char FIRST_PRINTABLE = ' ';
    private static final char LAST_PRINTABLE = '~';

    /**
     * Parses one complete line with its terminator.
     *
     * @throws MalformedLineException if the line is malformed, or a field is missing, invalid (such as a class or tenant that
     *     is not in the settings) or over its limit
     */
    OpenCommand parse(byte[] encoded) {
        String line = new String(encoded, StandardCharsets.ISO_8859_1);
        String[] words = splitWords(line);
        OpenCommandBuilder builder = new OpenCommandBuilder(this, line, words[1], words[2]);
        parseFields(words[3], line.length() - CrlfDecoder.LINE_END.length() - words[3].length(), builder);
        return builder.build();
    }

    private static String[] splitWords(String line) {
        if (!line.endsWith(CrlfDecoder.LINE_END)) {
            throw new MalformedLineException("a line that does not end with CRLF");
        }
        String content = line.substring(0, line.length() - CrlfDecoder.LINE_END.length());
        if (!content.chars().allMatch(c -> c >= FIRST_PRINTABLE && c <= LAST_PRINTABLE)) {
            throw new MalformedLineException("a character that is not printable ASCII");
        }
        String[] words = content.split(" ", -1);
        if (words.length != WORD_COUNT || !words[0].equals(OPEN_WORD) || words[1].isEmpty() || words[2].isEmpty()) {
            throw new MalformedLineException("not of the form OPEN ID KEY FIELDS");
        }
        return words;
    }

    /** Passes each field to the builder, with the index of its value in the line. */
    private static void parseFields(String fields, int startIndex, OpenCommandBuilder builder) {
        Set<String> seenNames = new HashSet<>();
        int fieldIndex = startIndex;
        for (String field : fields.split(",", -1)) {
            int equals = field.indexOf('=');
            if (equals <= 0 || equals == field.length() - 1 || !seenNames.add(field.substring(0, equals))) {
                throw new MalformedLineException("a field without a value, or a repeated field");
            }
            builder.setField(field.substring(0, equals), field.substring(equals + 1), fieldIndex + equals + 1);
            fieldIndex += field.length() + 1;
        }
    }
}
