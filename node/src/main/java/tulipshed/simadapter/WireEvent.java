package tulipshed.simadapter;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import tulipshed.config.JsonValues;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NameIndex;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.NewRequest;
import tulipshed.decision.api.Outcome;
import tulipshed.time.Clock;

/**
 * One line of the simulator's input. This class and the readers of nested values translate the external names to the
 * terms of the decision module; {@link #readField} lists them all. A field that is absent or null has its default, and
 * unknown fields are skipped. Read once, not changed afterwards.
 */
final class WireEvent {
    /** External values of {@code Sort}: what the {@code Value} of a report on a connection is. Others are ignored. */
    private static final int SORT_LOAD = 1;

    private static final int SORT_LATENCY = 2;

    private static final long NO_ID = -1;
    private static final int NO_TENANT = -1;

    private String typeName;
    private String instance;
    private double timeS = Double.NaN;
    private long frame = NO_ID;
    private long seed;
    private Map<String, Object> settings;
    private long requestId = NO_ID;
    private String className;
    private String tenantName;
    private String key;
    private String group;
    private long timeoutUs;
    private double loadHintPerS;
    private boolean retry;
    private boolean midFlow;
    private boolean reconnecting;
    private String endpoint;
    private int attempt;
    private long durationUs;
    private boolean concluded;
    private String verdict;
    private LoadReport loadReport = LoadReport.NONE;
    private int reportKind;
    private double reportedValue;
    private long timerToken;
    private String scope;
    private List<EndpointInfo> endpoints = List.of();
    private int sendingPeer;
    private byte[] body = new byte[0];

    private WireEvent() {}

    /**
     * Reads one line.
     *
     * @param first the parser's current token, the first of the line
     * @throws MalformedInputException if the line is no object, has no {@code cmd}, or a field has another type
     * @throws IOException if the input cannot be read or is not JSON
     */
    static WireEvent read(JsonParser parser, JsonToken first) throws IOException {
        if (first != JsonToken.START_OBJECT) {
            throw new MalformedInputException("a line that is not an object: " + first);
        }
        WireEvent event = new WireEvent();
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            if (parser.nextToken() != JsonToken.VALUE_NULL) {
                event.readField(parser, name);
            }
        }
        if (parser.currentToken() != JsonToken.END_OBJECT) {
            throw new MalformedInputException("a line that does not end");
        }
        if (event.typeName == null) {
            throw new MalformedInputException("a line without cmd");
        }
        return event;
    }

    private void readField(JsonParser parser, String name) throws IOException {
        switch (name) {
            case "cmd" -> typeName = JsonTokens.string(parser, name);
            case "Who" -> instance = JsonTokens.string(parser, name);
            case "TimeS" -> timeS = JsonTokens.number(parser, name);
            case "frame" -> frame = JsonTokens.integer(parser, name);
            case "RngSeed" -> seed = JsonTokens.unsignedInteger(parser, name);
            case "Settings" -> settings = settings(parser);
            case "MsgId" -> requestId = JsonTokens.integer(parser, name);
            case "Service" -> className = JsonTokens.string(parser, name);
            case "Org" -> tenantName = parser.getValueAsString();
            case "Subject" -> key = JsonTokens.string(parser, name);
            case "TeamId" -> group = JsonTokens.string(parser, name);
            case "GraceS" -> timeoutUs = JsonTokens.micros(parser, name);
            case "SizeHintS" -> loadHintPerS = JsonTokens.number(parser, name);
            case "Resent" -> retry = parser.getValueAsBoolean();
            case "Stray" -> midFlow = parser.getValueAsBoolean();
            case "Returned" -> reconnecting = parser.getValueAsBoolean();
            case "Server" -> endpoint = JsonTokens.string(parser, name);
            case "Leg" -> attempt = (int) JsonTokens.integer(parser, name);
            case "TookS" -> durationUs = JsonTokens.micros(parser, name);
            case "NoMore" -> concluded = parser.getValueAsBoolean();
            case "Verdict" -> verdict = JsonTokens.string(parser, name);
            case "Telemetry" -> loadReport = LoadReportReader.read(parser);
            case "Sort" -> reportKind = (int) JsonTokens.integer(parser, name);
            case "Value" -> reportedValue = JsonTokens.number(parser, name);
            case "Label" -> timerToken = JsonTokens.integer(parser, name);
            case "Scope" -> scope = JsonTokens.string(parser, name);
            case "NodesList" -> endpoints = EndpointListReader.read(parser);
            case "SrcPeer" -> sendingPeer = (int) JsonTokens.integer(parser, name);
            case "Body" -> body = parser.getBinaryValue();
            default -> parser.skipChildren();
        }
    }

    private static Map<String, Object> settings(JsonParser parser) throws IOException {
        JsonTokens.expect(parser, JsonToken.START_OBJECT, "Settings");
        return JsonValues.object(parser);
    }

    /** The type, or null if it is unknown. */
    EventType type() {
        return EventType.of(typeName);
    }

    /** The external name of the type, for error messages. */
    String typeName() {
        return typeName;
    }

    /** The name of the instance that the event is for, or null. */
    String instance() {
        return instance;
    }

    /** Whether the time and the frame number of a batch are present. */
    boolean hasTimeAndFrame() {
        return !Double.isNaN(timeS) && frame >= 0;
    }

    /** The time of a batch, in microseconds. */
    long timeUs() {
        return Clock.secondsToMicros(timeS);
    }

    /** The number of a batch, which its reply repeats. */
    long frame() {
        return frame;
    }

    /** The seed of an instance's random source. */
    long seed() {
        return seed;
    }

    /** The settings of an instance in their external form. */
    Map<String, Object> settings() {
        if (settings == null) {
            throw new MalformedInputException("Provision without Settings");
        }
        return settings;
    }

    /** The request's ID. */
    long requestId() {
        if (requestId < 0) {
            throw new MalformedInputException(typeName + " without MsgId");
        }
        return requestId;
    }

    /** The request, its class and tenant translated to indexes. */
    NewRequest newRequest(NameIndex names) {
        Integer requestClass = names.classIndex(className);
        if (requestClass == null) {
            throw new MalformedInputException("unknown Service " + className);
        }
        Integer tenant = names.tenantIndex(tenantName);
        return new NewRequest(
                requestId(),
                requestClass,
                tenant == null ? NO_TENANT : tenant,
                key,
                group,
                timeoutUs,
                loadHintPerS * Clock.MICROS_PER_SECOND,
                retry,
                midFlow,
                reconnecting);
    }

    /** The endpoint's ID. */
    String endpoint() {
        if (endpoint == null) {
            throw new MalformedInputException(typeName + " without Server");
        }
        return endpoint;
    }

    /** The number of the attempt within its request, from 0. */
    int attempt() {
        return attempt;
    }

    /** How long the attempt took, in microseconds. */
    long durationUs() {
        return durationUs;
    }

    /** Whether the client expects nothing more for its request. */
    boolean concluded() {
        return concluded;
    }

    /** How an attempt or a health check ended; external name Verdict. */
    Outcome outcome() {
        return switch (String.valueOf(verdict)) {
            case "delivered" -> Outcome.OK;
            case "app_error" -> Outcome.ERROR;
            case "shed" -> Outcome.FULL;
            case "expired" -> Outcome.TIMEOUT;
            case "dial_failed" -> Outcome.CONNECT_FAILED;
            case "dropped" -> Outcome.RESET;
            case "revoked" -> Outcome.CANCELLED;
            case "unused" -> Outcome.UNUSED;
            default -> throw new MalformedInputException("unknown Verdict " + verdict);
        };
    }

    /** The endpoint's load report, {@link LoadReport#NONE} if there is none. */
    LoadReport loadReport() {
        return loadReport;
    }

    /** Whether {@link #reportedValue()} is a load, in microseconds of work a second. */
    boolean reportsLoad() {
        return reportKind == SORT_LOAD;
    }

    /** Whether {@link #reportedValue()} is a latency, in milliseconds. */
    boolean reportsLatency() {
        return reportKind == SORT_LATENCY;
    }

    /** The value reported on an established connection. */
    double reportedValue() {
        return reportedValue;
    }

    /** The token that the instance gave its timer. */
    long timerToken() {
        return timerToken;
    }

    /** What the endpoint list is; external name Scope. */
    EndpointListKind listKind() {
        return switch (String.valueOf(scope)) {
            case "patch" -> EndpointListKind.CHANGES;
            case "whole" -> EndpointListKind.COMPLETE;
            case "stale_copy" -> EndpointListKind.CACHED;
            case "broken" -> EndpointListKind.FAILED;
            default -> throw new MalformedInputException("unknown Scope " + scope);
        };
    }

    /** The endpoints listed, empty by default. */
    List<EndpointInfo> endpoints() {
        return endpoints;
    }

    /** The index of the instance that sent a message. */
    int sendingPeer() {
        return sendingPeer;
    }

    /** The content of a message. */
    byte[] body() {
        return body;
    }
}
