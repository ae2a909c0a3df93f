package tulipshed.operators;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;

/** Reads {@code (retry (key NUMBER "HEX") ... (use NUMBER) (expires-ms N) (on N) (off N) (stay-ms N))}. */
final class RetrySectionReader {
    private static final Set<String> FIELDS = SectionNames.ordered(
            FieldNames.USE, FieldNames.EXPIRES_MS, FieldNames.ON, FieldNames.OFF, FieldNames.STAY_MS, FieldNames.KEY);
    private static final int MAX_KEY_NUMBER = 255;
    private static final int MIN_EXPIRES_MS = 100;
    private static final int MAX_EXPIRES_MS = 600_000;
    private static final int MAX_CONNECTIONS = 100_000;
    private static final int MAX_STAY_MS = 600_000;
    private static final int DEFAULT_STAY_MS = 1000;

    private RetrySectionReader() {}

    /** Returns the section; the caller must not use it if errors were reported. */
    static RetrySection read(Form.Sequence section, Diagnostics diagnostics) {
        Map<Integer, byte[]> keys = readKeys(section, diagnostics);
        SectionFields fields =
                new SectionFields(SectionFields.without(section, FieldNames.KEY), 1, FIELDS, diagnostics);
        int use = (int) fields.integer(FieldNames.USE, 0, MAX_KEY_NUMBER, 0);
        if (!keys.containsKey(use)) {
            diagnostics.add(fields.place(FieldNames.USE), "there is no (key " + use + " ...)");
        }
        double expiresMs = fields.integer(FieldNames.EXPIRES_MS, MIN_EXPIRES_MS, MAX_EXPIRES_MS, MIN_EXPIRES_MS);
        int on = (int) fields.integer(FieldNames.ON, 1, MAX_CONNECTIONS, 1);
        int off = (int) fields.integer(FieldNames.OFF, 0, MAX_CONNECTIONS, 0);
        if (off >= on) {
            diagnostics.add(fields.place(FieldNames.OFF), "expected off below on, which is " + on);
        }
        double stayMs = fields.has(FieldNames.STAY_MS)
                ? fields.integer(FieldNames.STAY_MS, 0, MAX_STAY_MS, 0)
                : DEFAULT_STAY_MS;
        return new RetrySection(keys, use, expiresMs, on, off, stayMs);
    }

    private static Map<Integer, byte[]> readKeys(Form.Sequence section, Diagnostics diagnostics) {
        Map<Integer, byte[]> keys = new TreeMap<>();
        for (Form.Sequence form : SectionFields.repeated(section, FieldNames.KEY)) {
            if (form.items().size() != 3
                    || !(form.items().get(1) instanceof Form.IntegerLiteral number)
                    || number.value() < 0
                    || number.value() > MAX_KEY_NUMBER
                    || !(form.items().get(2) instanceof Form.StringLiteral hexadecimal)) {
                diagnostics.add(form.place(), "expected (key NUMBER \"HEX\") with a number from 0 to 255");
                continue;
            }
            byte[] bytes = FormValues.bytes(hexadecimal.value(), hexadecimal.place(), diagnostics);
            byte[] key = QuicSectionReader.checkKeyLength(bytes, hexadecimal, diagnostics);
            if (keys.put((int) number.value(), key) != null) {
                diagnostics.add(form.place(), "key " + number.value() + " is given twice");
            }
        }
        return keys;
    }
}
