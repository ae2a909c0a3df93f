package tulipshed.simadapter;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import tulipshed.config.MalformedInputException;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointStatus;

/** Reads an endpoint list, external name {@code NodesList}. Unknown fields are skipped. */
final class EndpointListReader {
    private EndpointListReader() {}

    /** Reads a list; the parser's current token is its start. */
    static List<EndpointInfo> read(JsonParser parser) throws IOException {
        JsonTokens.expect(parser, JsonToken.START_ARRAY, "NodesList");
        List<EndpointInfo> endpoints = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            endpoints.add(endpoint(parser));
        }
        JsonTokens.expect(parser, JsonToken.END_ARRAY, "NodesList");
        return endpoints;
    }

    private static EndpointInfo endpoint(JsonParser parser) throws IOException {
        String id = null;
        String status = null;
        String zone = "";
        String machineType = "";
        int cell = 0;
        double weight = 1;
        long startedUs = 0;
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            parser.nextToken();
            switch (name) {
                case "Server" -> id = JsonTokens.string(parser, name);
                case "StageState" -> status = JsonTokens.string(parser, name);
                case "Zone" -> zone = JsonTokens.string(parser, name);
                case "Hw" -> machineType = JsonTokens.string(parser, name);
                case "UnitGroup" -> cell = (int) JsonTokens.integer(parser, name);
                case "Share" -> weight = JsonTokens.number(parser, name);
                case "SinceS" -> startedUs = JsonTokens.micros(parser, name);
                default -> parser.skipChildren();
            }
        }
        if (id == null) {
            throw new MalformedInputException("NodesList entry without Server");
        }
        return new EndpointInfo(id, status(status), zone, cell, machineType, weight, startedUs);
    }

    /** Translates an external {@code StageState}. */
    private static EndpointStatus status(String stageState) {
        return switch (String.valueOf(stageState)) {
            case "SERVING" -> EndpointStatus.SERVING;
            case "DRAINING" -> EndpointStatus.DRAINING;
            case "DELETED" -> EndpointStatus.REMOVED;
            default -> throw new MalformedInputException("unknown StageState: " + stageState);
        };
    }
}
