package tulipshed.simadapter;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.List;
import tulipshed.config.MalformedInputException;
import tulipshed.decision.api.EndpointInfo;
import tulipshed.decision.api.EndpointListKind;

/** The fields of a line that carry an endpoint list; {@link #readField} lists their external names. */
final class EndpointListFields {
    private String kindName;
    private List<EndpointInfo> endpoints = List.of();

    /**
     * Reads the parser's current token as the value of the named field; returns false if it is not a field of an
     * endpoint list.
     */
    boolean readField(JsonParser parser, String name) throws IOException {
        switch (name) {
            case "Scope" -> kindName = JsonTokens.string(parser, name);
            case "NodesList" -> endpoints = EndpointListReader.read(parser);
            default -> {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the kind of the list.
     *
     * @throws MalformedInputException if it is absent or its external name is unknown
     */
    EndpointListKind kind() {
        return switch (String.valueOf(kindName)) {
            case "patch" -> EndpointListKind.CHANGES;
            case "whole" -> EndpointListKind.COMPLETE;
            case "stale_copy" -> EndpointListKind.CACHED;
            case "broken" -> EndpointListKind.FAILED;
            default -> throw new MalformedInputException("unknown Scope: " + kindName);
        };
    }

    /** Returns the listed endpoints; empty by default. */
    List<EndpointInfo> endpoints() {
        return endpoints;
    }
}
