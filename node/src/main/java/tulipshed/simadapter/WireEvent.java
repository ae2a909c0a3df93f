package tulipshed.simadapter;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Map;
import tulipshed.config.JsonValues;
import tulipshed.config.MalformedInputException;
import tulipshed.time.Clock;

/**
 * One line of the simulator's input. This class, the field groups and the readers of nested values translate the
 * external names to the terms of the decision module. A field that is absent or null has its default value, or is
 * rejected on use if it is required; unknown fields are skipped. Not modified after it was read.
 */
final class WireEvent {
    private static final long NO_FRAME = -1;

    private final RequestFields request = new RequestFields();
    private final AttemptFields attempt = new AttemptFields();
    private final ConnectionReportFields connectionReport = new ConnectionReportFields();
    private final EndpointListFields endpointList = new EndpointListFields();

    private String typeName;
    private String instance;
    private double timeS = Double.NaN;
    private long frame = NO_FRAME;
    private long seed;
    private Map<String, Object> settings;
    private String endpoint;
    private long timerToken;
    private int sendingPeer;
    private byte[] body = new byte[0];

    private WireEvent() {}

    /**
     * Reads one line.
     *
     * @param first the parser's current token, the first of the line
     * @throws MalformedInputException if the line is not a complete object, has no {@code cmd}, or a field has the
     *     wrong type
     * @throws IOException if the input cannot be read or is not JSON
     */
    static WireEvent read(JsonParser parser, JsonToken first) throws IOException {
        if (first != JsonToken.START_OBJECT) {
            throw new MalformedInputException("expected an object, got " + first);
        }
        WireEvent event = new WireEvent();
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            if (parser.nextToken() != JsonToken.VALUE_NULL) {
                event.readField(parser, name);
            }
        }
        if (parser.currentToken() != JsonToken.END_OBJECT) {
            throw new MalformedInputException("input ends within an object");
        }
        if (event.typeName == null) {
            throw new MalformedInputException("object without cmd");
        }
        return event;
    }

    private void readField(JsonParser parser, String name) throws IOException {
        boolean read = request.readField(parser, name)
                || attempt.readField(parser, name)
                || connectionReport.readField(parser, name)
                || endpointList.readField(parser, name)
                || readOtherField(parser, name);
        if (!read) {
            parser.skipChildren();
        }
    }

    private boolean readOtherField(JsonParser parser, String name) throws IOException {
        switch (name) {
            case "cmd" -> typeName = JsonTokens.string(parser, name);
            case "Who" -> instance = JsonTokens.string(parser, name);
            case "TimeS" -> timeS = JsonTokens.number(parser, name);
            case "frame" -> frame = JsonTokens.integer(parser, name);
            case "RngSeed" -> seed = JsonTokens.unsignedInteger(parser, name);
            case "Settings" -> settings = settings(parser);
            case "Server" -> endpoint = JsonTokens.string(parser, name);
            case "Label" -> timerToken = JsonTokens.integer(parser, name);
            case "SrcPeer" -> sendingPeer = (int) JsonTokens.integer(parser, name);
            case "Body" -> body = parser.getBinaryValue();
            default -> {
                return false;
            }
        }
        return true;
    }

    private static Map<String, Object> settings(JsonParser parser) throws IOException {
        JsonTokens.expect(parser, JsonToken.START_OBJECT, "Settings");
        return JsonValues.object(parser);
    }

    /** Returns the type, or null if it is unknown. */
    EventType type() {
        return EventType.of(typeName);
    }

    /** Returns the external name of the type, for error messages. */
    String typeName() {
        return typeName;
    }

    /** Returns the name of the instance that the event is addressed to, or null. */
    String instance() {
        return instance;
    }

    /** Whether the time and the frame number of a batch are present. */
    boolean hasTimeAndFrame() {
        return !Double.isNaN(timeS) && frame >= 0;
    }

    /** Returns the time of a batch, in microseconds. */
    long timeUs() {
        return Clock.secondsToMicros(timeS);
    }

    /** Returns the number of a batch, which its reply contains too. */
    long frame() {
        return frame;
    }

    /** Returns the seed of an instance's random number generator. */
    long seed() {
        return seed;
    }

    /** Returns the settings of an instance in their external form, for {@code SettingsReader}. */
    Map<String, Object> settings() {
        if (settings == null) {
            throw new MalformedInputException("Provision without Settings");
        }
        return settings;
    }

    /** Returns the fields of a request. */
    RequestFields request() {
        return request;
    }

    /** Returns the ID of the request. */
    long requestId() {
        return request.id(typeName);
    }

    /** Returns the fields of an attempt, or of the result of an attempt or a health check. */
    AttemptFields attempt() {
        return attempt;
    }

    /** Returns the fields of a report on an established connection. */
    ConnectionReportFields connectionReport() {
        return connectionReport;
    }

    /** Returns the fields of an endpoint list. */
    EndpointListFields endpointList() {
        return endpointList;
    }

    /** Returns the ID of the endpoint. */
    String endpoint() {
        if (endpoint == null) {
            throw new MalformedInputException(typeName + " without Server");
        }
        return endpoint;
    }

    /** Returns the token of the expired timer. */
    long timerToken() {
        return timerToken;
    }

    /** Returns the index of the instance that sent the message. */
    int sendingPeer() {
        return sendingPeer;
    }

    /** Returns the body of the message. */
    byte[] body() {
        return body;
    }
}
