package tulipshed.lineprotocol;

import java.util.regex.Pattern;
import tulipshed.proxy.RequestParameters;
import tulipshed.routing.AdditionalAttributes;
import tulipshed.routing.AttributeDeclarations;
import tulipshed.routing.AttributeValue;

/** Gives the fields of one open command their meaning, and checks that the command is complete. Used once. */
final class OpenCommandBuilder {
    // The field names of the wire.
    private static final String CLASS_FIELD = "c";
    private static final String TENANT_FIELD = "t";
    private static final String TIMEOUT_FIELD = "d";
    private static final String GROUP_FIELD = "g";
    private static final String LOAD_HINT_FIELD = "h";
    private static final String RETRY_FIELD = "r";
    private static final String RECONNECTING_FIELD = "again";
    private static final String ADOPTED_FROM_FIELD = "at";

    private static final String TRUE = "1";
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}(\\.[0-9]{1,15})?");
    private static final int NO_INDEX = -1;
    private static final double NO_TIMEOUT = -1;

    private final OpenCommandParser parser;
    private final String line;
    private final String id;
    private final String key;
    private int classIndex = NO_INDEX;
    private int tenantIndex = NO_INDEX;
    private double timeoutMs = NO_TIMEOUT;
    private int timeoutStart;
    private int timeoutEnd;
    private String group;
    private double loadHintUsPerS;
    private boolean isRetry;
    private boolean isReconnecting;
    private String adoptedFrom;
    private final AdditionalAttributes.Builder declaredAttributes = AdditionalAttributes.builder();

    /** A builder of the command with that line, ID and key. */
    OpenCommandBuilder(OpenCommandParser parser, String line, String id, String key) {
        this.parser = parser;
        this.line = line;
        this.id = id;
        this.key = key;
    }

    /**
     * Takes one field.
     *
     * @param valueIndex index in the line of the first character of the value
     * @throws MalformedLineException if the value is not one that the field may have
     */
    void field(String name, String value, int valueIndex) {
        switch (name) {
            case CLASS_FIELD -> classIndex = known(parser.names().classIndex(value), "an unknown class");
            case TENANT_FIELD -> tenantIndex = known(parser.names().tenantIndex(value), "an unknown tenant");
            case TIMEOUT_FIELD -> {
                timeoutMs = number(value);
                timeoutStart = valueIndex;
                timeoutEnd = valueIndex + value.length();
            }
            case GROUP_FIELD -> group = value;
            case LOAD_HINT_FIELD -> loadHintUsPerS = number(value);
            case RETRY_FIELD -> isRetry = value.equals(TRUE);
            case RECONNECTING_FIELD -> isReconnecting = value.equals(TRUE);
            case ADOPTED_FROM_FIELD -> adoptedFrom = value;
            default -> furtherField(name, value);
        }
    }

    /** A field that the operators have declared is read; all others are only forwarded. */
    private void furtherField(String name, String value) {
        if (parser.declarations().byName().containsKey(name)) {
            AttributeValue parsed = parser.declarations().parse(name, value);
            if (parsed == null) {
                throw new MalformedLineException("a value that does not match its declaration");
            }
            declaredAttributes.put(name, parsed);
        }
    }

    /**
     * The command of all fields taken.
     *
     * @throws MalformedLineException if a required field is missing, or the timeout, key or group is too long
     */
    OpenCommand build() {
        requireComplete();
        requireWithinLimits();
        RequestParameters attributes = new RequestParameters(
                classIndex, tenantIndex, key, group, timeoutMs, loadHintUsPerS, isRetry, isReconnecting);
        return new OpenCommand(line, id, timeoutStart, timeoutEnd, attributes, adoptedFrom, declaredAttributes.build());
    }

    private void requireComplete() {
        if (classIndex < 0 || timeoutMs < 0) {
            throw new MalformedLineException("no class or no timeout");
        }
        // The timeout of an adopted connection may be its lifetime: no response waits for it.
        if (timeoutMs > parser.maxTimeoutMs() && adoptedFrom == null) {
            throw new MalformedLineException("a timeout that is too long");
        }
        if (tenantIndex < 0 && !parser.names().tenantNames().isEmpty()) {
            throw new MalformedLineException("no tenant");
        }
    }

    private void requireWithinLimits() {
        AttributeDeclarations declarations = parser.declarations();
        if (key.length() > declarations.maxKeyLength()
                || (group != null && group.length() > declarations.maxGroupLength())) {
            throw new MalformedLineException("a key or a group that is longer than declared");
        }
    }

    private static int known(Integer index, String otherwise) {
        if (index == null) {
            throw new MalformedLineException(otherwise);
        }
        return index;
    }

    private static double number(String value) {
        if (!NUMBER.matcher(value).matches()) {
            throw new MalformedLineException("a value that is not a number");
        }
        return Double.parseDouble(value);
    }
}
