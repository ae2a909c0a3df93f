package tulipshed.simadapter;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tulipshed.config.JsonValues;
import tulipshed.config.MalformedInputException;
import tulipshed.config.SettingsReader;
import tulipshed.decision.BalancerApi.EndpointInfo;
import tulipshed.decision.BalancerApi.EndpointListKind;
import tulipshed.decision.BalancerApi.EndpointStatus;
import tulipshed.decision.BalancerApi.LoadReport;
import tulipshed.decision.BalancerApi.NewRequest;
import tulipshed.decision.BalancerApi.Outcome;

/** One line of input, read field by field; reused from line to line. Unknown fields are skipped. */
final class WireEvent {
    String cmd;
    String who;
    double timeS;
    long frame;
    long seed;
    Map<String, Object> settings;
    List<EndpointInfo> servers;
    int leg;
    long tookUs;
    boolean noMore;
    int sort;
    double value;
    long label;
    int srcPeer;
    byte[] body;
    private long msgId;
    private String service;
    private String org;
    private String subject;
    private String team;
    private String server;
    private String scope;
    private String verdict;
    private long graceUs;
    private double hintS;
    private boolean resent;
    private boolean stray;
    private boolean returned;
    private final double[] telemetry = new double[REPORT_FIELDS.size()];
    private boolean reported;

    private static final List<String> REPORT_FIELDS =
            List.of("active", "waiting", "cpu", "avg_ms", "rps", "err_rps", "x0", "x1");

    void read(JsonParser in, JsonToken first) throws IOException {
        clear();
        if (first != JsonToken.START_OBJECT) {
            throw new MalformedInputException("a line that is not an object: " + first);
        }
        for (String name = in.nextFieldName(); name != null; name = in.nextFieldName()) {
            if (in.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            field(in, name);
        }
        if (in.currentToken() != JsonToken.END_OBJECT) {
            throw new MalformedInputException("a line that does not end");
        }
        if (cmd == null) {
            throw new MalformedInputException("a line without cmd");
        }
    }

    private void clear() {
        cmd = who = service = org = subject = team = server = scope = verdict = null;
        timeS = Double.NaN;
        frame = msgId = -1;
        seed = tookUs = label = graceUs = 0;
        settings = null;
        servers = List.of();
        leg = sort = srcPeer = 0;
        noMore = resent = stray = returned = reported = false;
        value = hintS = 0;
        body = new byte[0];
    }

    private void field(JsonParser in, String name) throws IOException {
        switch (name) {
            case "cmd" -> cmd = text(in, name);
            case "Who" -> who = text(in, name);
            case "TimeS" -> timeS = number(in, name);
            case "frame" -> frame = whole(in, name);
            case "RngSeed" -> seed = seed(in);
            case "Settings" -> {
                expect(in, JsonToken.START_OBJECT, name);
                settings = JsonValues.object(in);
            }
            case "MsgId" -> msgId = whole(in, name);
            case "Service" -> service = text(in, name);
            case "Org" -> org = in.getValueAsString();
            case "Subject" -> subject = text(in, name);
            case "TeamId" -> team = text(in, name);
            case "GraceS" -> graceUs = micros(in, name);
            case "SizeHintS" -> hintS = number(in, name);
            case "Resent" -> resent = in.getValueAsBoolean();
            case "Stray" -> stray = in.getValueAsBoolean();
            case "Returned" -> returned = in.getValueAsBoolean();
            case "Server" -> server = text(in, name);
            case "Leg" -> leg = (int) whole(in, name);
            case "TookS" -> tookUs = micros(in, name);
            case "NoMore" -> noMore = in.getValueAsBoolean();
            case "Verdict" -> verdict = text(in, name);
            case "Telemetry" -> telemetry(in);
            case "Sort" -> sort = (int) whole(in, name);
            case "Value" -> value = number(in, name);
            case "Label" -> label = whole(in, name);
            case "Scope" -> scope = text(in, name);
            case "NodesList" -> servers = entries(in);
            case "SrcPeer" -> srcPeer = (int) whole(in, name);
            case "Body" -> body = in.getBinaryValue();
            default -> in.skipChildren();
        }
    }

    long id() {
        if (msgId < 0) {
            throw new MalformedInputException(cmd + " without MsgId");
        }
        return msgId;
    }

    String server() {
        if (server == null) {
            throw new MalformedInputException(cmd + " without Server");
        }
        return server;
    }

    EndpointListKind listKind() {
        return switch (String.valueOf(scope)) {
            case "patch" -> EndpointListKind.CHANGES;
            case "whole" -> EndpointListKind.COMPLETE;
            case "stale_copy" -> EndpointListKind.CACHED;
            case "broken" -> EndpointListKind.FAILED;
            default -> throw new MalformedInputException("unknown Scope " + scope);
        };
    }

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

    NewRequest newRequest(SettingsReader.NameIndex names) {
        Integer requestClass = names.classes.get(service);
        if (requestClass == null) {
            throw new MalformedInputException("unknown Service " + service);
        }
        return new NewRequest(
                id(),
                requestClass,
                names.tenants.getOrDefault(org, -1),
                subject,
                team,
                graceUs,
                hintS * 1e6,
                resent,
                stray,
                returned);
    }

    LoadReport report() {
        double[] t = telemetry;
        return reported ? new LoadReport(t[0], t[1], t[2], t[3], t[4], t[5], t[6], t[7]) : LoadReport.NONE;
    }

    private void telemetry(JsonParser in) throws IOException {
        expect(in, JsonToken.START_OBJECT, "Telemetry");
        java.util.Arrays.fill(telemetry, Double.NaN);
        reported = true;
        for (String name = in.nextFieldName(); name != null; name = in.nextFieldName()) {
            in.nextToken();
            int field = REPORT_FIELDS.indexOf(name);
            if (field < 0) {
                in.skipChildren();
            } else {
                telemetry[field] = number(in, name);
            }
        }
    }

    private static List<EndpointInfo> entries(JsonParser in) throws IOException {
        expect(in, JsonToken.START_ARRAY, "NodesList");
        List<EndpointInfo> list = new ArrayList<>();
        while (in.nextToken() == JsonToken.START_OBJECT) {
            String server = null;
            String state = null;
            String zone = "";
            String kind = "";
            int cell = 0;
            double share = 1;
            long started = 0;
            for (String name = in.nextFieldName(); name != null; name = in.nextFieldName()) {
                in.nextToken();
                switch (name) {
                    case "Server" -> server = text(in, name);
                    case "StageState" -> state = text(in, name);
                    case "Zone" -> zone = text(in, name);
                    case "Hw" -> kind = text(in, name);
                    case "UnitGroup" -> cell = (int) whole(in, name);
                    case "Share" -> share = number(in, name);
                    case "SinceS" -> started = micros(in, name);
                    default -> in.skipChildren();
                }
            }
            if (server == null) {
                throw new MalformedInputException("a list entry without Server");
            }
            list.add(new EndpointInfo(server, state(state), zone, cell, kind, share, started));
        }
        expect(in, JsonToken.END_ARRAY, "NodesList");
        return list;
    }

    private static EndpointStatus state(String state) {
        return switch (String.valueOf(state)) {
            case "SERVING" -> EndpointStatus.SERVING;
            case "DRAINING" -> EndpointStatus.DRAINING;
            case "DELETED" -> EndpointStatus.REMOVED;
            default -> throw new MalformedInputException("unknown StageState " + state);
        };
    }

    private static void expect(JsonParser in, JsonToken token, String name) {
        if (in.currentToken() != token) {
            throw new MalformedInputException(name + " is " + in.currentToken() + ", not " + token);
        }
    }

    private static String text(JsonParser in, String name) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_STRING) {
            throw new MalformedInputException(name + " is not a text");
        }
        return in.getText();
    }

    private static long whole(JsonParser in, String name) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new MalformedInputException(name + " is not a whole number");
        }
        return in.getLongValue();
    }

    private static double number(JsonParser in, String name) throws IOException {
        if (in.currentToken() == null || !in.currentToken().isNumeric()) {
            throw new MalformedInputException(name + " is not a number");
        }
        return in.getDoubleValue();
    }

    private static long micros(JsonParser in, String name) throws IOException {
        return Math.round(number(in, name) * 1e6);
    }

    /** A seed may use all 64 bits. */
    private static long seed(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new MalformedInputException("RngSeed is not a whole number");
        }
        return in.getBigIntegerValue().longValue();
    }
}
