package tulipshed.operators;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import tulipshed.config.NameIndex;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;

/** Reads the QUIC frontend's section, {@code (quic ...)}. */
final class QuicSectionReader {
    /** The length of an AES-128 key, and the minimum length of the reset key, in bytes. */
    static final int KEY_BYTES = 16;

    private static final Set<String> FIELDS = SectionNames.ordered(
            FieldNames.LISTEN,
            FieldNames.PREFERRED_ADDRESS,
            FieldNames.CLASS,
            FieldNames.TENANT,
            FieldNames.DEADLINE_MS,
            FieldNames.RESET_KEY,
            FieldNames.RETRY,
            SectionNames.IDS);
    private static final int MAX_DEADLINE_MS = 120_000;

    private QuicSectionReader() {}

    /** Returns the section; null if it has errors, which are reported. */
    static QuicSection read(Form.Sequence section, NameIndex names, Diagnostics diagnostics) {
        int errorsBefore = diagnostics.count();
        List<ConnectionIdSection> ids = readIds(section, diagnostics);
        SectionFields fields =
                new SectionFields(SectionFields.without(section, SectionNames.IDS), 1, FIELDS, diagnostics);
        InetSocketAddress listen = fields.address(FieldNames.LISTEN);
        InetSocketAddress preferred =
                fields.has(FieldNames.PREFERRED_ADDRESS) ? fields.address(FieldNames.PREFERRED_ADDRESS) : null;
        String requestClass = fields.oneOf(FieldNames.CLASS, names.classNames());
        String tenant = names.tenantNames().isEmpty() && !fields.has(FieldNames.TENANT)
                ? null
                : fields.oneOf(FieldNames.TENANT, names.tenantNames());
        double deadlineMs = fields.integer(FieldNames.DEADLINE_MS, 1, MAX_DEADLINE_MS, 1);
        byte[] resetKey = readResetKey(fields, diagnostics);
        RetrySection retry = fields.has(FieldNames.RETRY)
                ? RetrySectionReader.read(fields.get(FieldNames.RETRY), diagnostics)
                : null;
        return diagnostics.count() > errorsBefore
                ? null
                : new QuicSection(
                        listen, preferred, requestClass, tenant, deadlineMs, List.copyOf(ids), resetKey, retry);
    }

    private static List<ConnectionIdSection> readIds(Form.Sequence section, Diagnostics diagnostics) {
        List<ConnectionIdSection> configurations = new ArrayList<>();
        Set<Integer> numbers = new LinkedHashSet<>();
        for (Form.Sequence form : SectionFields.repeated(section, SectionNames.IDS)) {
            ConnectionIdSection ids = ConnectionIdSectionReader.read(form, diagnostics);
            if (!numbers.add(ids.configuration())) {
                diagnostics.add(form.place(), "configuration " + ids.configuration() + " is given twice");
            }
            configurations.add(ids);
        }
        if (configurations.isEmpty()) {
            diagnostics.add(section.place(), "expected (ids ...) in (quic ...)");
        }
        return configurations;
    }

    private static byte[] readResetKey(SectionFields fields, Diagnostics diagnostics) {
        byte[] key = fields.bytes(FieldNames.RESET_KEY);
        if (key != null && key.length < KEY_BYTES) {
            diagnostics.add(
                    fields.place(FieldNames.RESET_KEY),
                    "expected a reset-key of " + KEY_BYTES + " bytes at least, found " + key.length);
        }
        return key;
    }

    /** Returns the key; a length other than {@link #KEY_BYTES} is reported at {@code form}. */
    static byte[] checkKeyLength(byte[] key, Form form, Diagnostics diagnostics) {
        if (key != null && key.length != KEY_BYTES) {
            diagnostics.add(form.place(), "expected a key of " + KEY_BYTES + " bytes, found " + key.length);
        }
        return key;
    }
}
