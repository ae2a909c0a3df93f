package tulipshed.simadapter;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NameIndex;
import tulipshed.decision.api.NewRequest;
import tulipshed.time.Clock;

/** The fields of a line that describe a request; {@link #readField} lists their external names. */
final class RequestFields {
    private static final long NO_ID = -1;
    private static final int NO_TENANT = -1;

    private long id = NO_ID;
    private String className;
    private String tenantName;
    private String key;
    private String group;
    private long timeoutUs;
    private double loadHintSPerS;
    private boolean retry;
    private boolean exemptFromAdmission;
    private boolean reconnecting;

    /**
     * Reads the parser's current token as the value of the named field; returns false if it is not a field of a
     * request.
     */
    boolean readField(JsonParser parser, String name) throws IOException {
        switch (name) {
            case "MsgId" -> id = JsonTokens.integer(parser, name);
            case "Service" -> className = JsonTokens.string(parser, name);
            case "Org" -> tenantName = parser.getValueAsString();
            case "Subject" -> key = JsonTokens.string(parser, name);
            case "TeamId" -> group = JsonTokens.string(parser, name);
            case "GraceS" -> timeoutUs = JsonTokens.micros(parser, name);
            case "SizeHintS" -> loadHintSPerS = JsonTokens.number(parser, name);
            case "Resent" -> retry = parser.getValueAsBoolean();
            case "Stray" -> exemptFromAdmission = parser.getValueAsBoolean();
            case "Returned" -> reconnecting = parser.getValueAsBoolean();
            default -> {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the request's ID.
     *
     * @param eventName the external name of the event, for the error message
     * @throws MalformedInputException if it is absent
     */
    long id(String eventName) {
        if (id < 0) {
            throw new MalformedInputException(eventName + " without MsgId");
        }
        return id;
    }

    /**
     * Returns the request, with its class and tenant translated to indexes.
     *
     * @param eventName the external name of the event, for the error message
     * @throws MalformedInputException if the class is unknown or the ID is absent
     */
    NewRequest newRequest(String eventName, NameIndex names) {
        Integer requestClass = names.classIndex(className);
        if (requestClass == null) {
            throw new MalformedInputException("unknown Service: " + className);
        }
        Integer tenant = names.tenantIndex(tenantName);
        return new NewRequest(
                id(eventName),
                requestClass,
                tenant == null ? NO_TENANT : tenant,
                key,
                group,
                timeoutUs,
                loadHintSPerS * Clock.MICROS_PER_SECOND,
                retry,
                exemptFromAdmission,
                reconnecting);
    }
}
