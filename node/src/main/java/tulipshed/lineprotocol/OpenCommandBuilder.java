package tulipshed.lineprotocol;

import java.util.regex.Pattern;
import tulipshed.proxy.RequestParameters;
import tulipshed.routing.AdditionalAttributes;
import tulipshed.routing.AttributeDeclarations;
import tulipshed.routing.AttributeValue;

/** Interprets the fields of one open command and checks that the command is complete. Used for one command only. */
final class OpenCommandBuilder {
    // Field names on the wire.
    private static final String CLASS_FIELD = "c";
    private static final String TENANT_FIELD = "t";
    private static final String TIMEOUT_FIELD = "d";
    private static final String GROUP_FIELD = "g";
    private static final String LOAD_HINT_FIELD = "h";
    private static final String RETRY_FIELD = "r";
    private static final String RECONNECTING_FIELD = "again";
    private static final String ADOPTED_ENDPOINT_FIELD = "at";

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
    private String adoptedEndpointId;
    private final AdditionalAttributes.Builder declaredAttributes = AdditionalAttributes.builder();

    /** Creates a builder for the command with this line, ID and key. */
    OpenCommandBuilder(OpenCommandParser parser, String line, String id, String key) {
        this.parser = parser;
        this.line = line;
        this.id = id;
        this.key = key;
    }

    /**
     * Sets one field.
     *
     * @param valueIndex index of the first character of the value in the line
     * @throws MalformedLineException if the value is invalid for the field
     */
    void setField(String name, String value, int valueIndex) {
        switch (name) {
            case CLASS_FIELD -> classIndex = requireKnown(parser.names().classIndex(value), "an unknown class");
            case TENANT_FIELD -> tenantIndex = requireKnown(parser.names().tenantIndex(value), "an unknown tenant");
            case TIMEOUT_FIELD -> {
                timeoutMs = parseNumber(value);
                timeoutStart = valueIndex;
                timeoutEnd = valueIndex + value.length();
            }
            case GROUP_FIELD -> group = value;
            case LOAD_HINT_FIELD -> loadHintUsPerS = parseNumber(value);
            case RETRY_FIELD -> isRetry = value.equals(TRUE);
            case RECONNECTING_FIELD -> isReconnecting = value.equals(TRUE);
            case ADOPTED_ENDPOINT_FIELD -> adoptedEndpointId = value;
            default -> setDeclaredField(name, value);
        }
    }

    /** Reads a field that the operators' file declares; any other field is only forwarded. */
    private void setDeclaredField(String name, String value) {
        if (parser.declarations().byName().containsKey(name)) {
            AttributeValue parsed = parser.declarations().parse(name, value);
            if (parsed == null) {
                throw new MalformedLineException("a value that does not match its declaration");
            }
            declaredAttributes.put(name, parsed);
        }
    }

    /**
     * Builds the command from the fields set so far.
     *
     * @throws MalformedLineException if a required field is missing, or the timeout, key or group is too long
     */
    OpenCommand build() {
        requireComplete();
        requireWithinLimits();
        RequestParameters parameters = new RequestParameters(
                classIndex, tenantIndex, key, group, timeoutMs, loadHintUsPerS, isRetry, isReconnecting);
        return new OpenCommand(
                line, id, timeoutStart, timeoutEnd, parameters, adoptedEndpointId, declaredAttributes.build());
    }

    private void requireComplete() {
        if (classIndex < 0 || timeoutMs < 0) {
            throw new MalformedLineException("no class or no timeout");
        }
        // An adopted connection may state its lifetime as the timeout, since it awaits no response.
        if (timeoutMs > parser.maxTimeoutMs() && adoptedEndpointId == null) {
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

    private static int requireKnown(Integer index, String errorReason) {
        if (index == null) {
            throw new MalformedLineException(errorReason);
        }
        return index;
    }

    private static double parseNumber(String value) {
        if (!NUMBER.matcher(value).matches()) {
            throw new MalformedLineException("a value that is not a number");
        }
        return Double.parseDouble(value);
    }
}
