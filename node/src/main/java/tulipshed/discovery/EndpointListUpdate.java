package tulipshed.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NodeConfig;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.time.WallTime;

/**
 * Full endpoint list of discovery, or changes to it.
 *
 * @param version the version of the list after this update
 * @param full whether the entries are the full list rather than the changes since the requested version
 * @param entries all endpoints of the list, or the changed ones
 */
public record EndpointListUpdate(long version, boolean full, List<ListedEndpoint> entries) {
    private static final double DEFAULT_WEIGHT = 1;

    /**
     * Parses the JSON format of discovery, whose field names differ from the names in the code: {@code servers} holds
     * the entries, and in an entry {@code addr} is the address, {@code state} the status, {@code kind} the machine type
     * and {@code started_ms} the start time in milliseconds since the epoch.
     *
     * @throws MalformedInputException if the JSON does not have this format; the message names the error
     */
    public static EndpointListUpdate read(Map<String, Object> json) {
        if (!(json.get("version") instanceof Double version) || !(json.get("servers") instanceof List<?> servers)) {
            throw new MalformedInputException("endpoint list without version or servers");
        }
        List<ListedEndpoint> entries = new ArrayList<>();
        for (Object server : servers) {
            if (!(server instanceof Map<?, ?> fields)) {
                throw new MalformedInputException("list entry is not an object");
            }
            entries.add(readEntry(fields));
        }
        return new EndpointListUpdate(version.longValue(), Boolean.TRUE.equals(json.get("full")), entries);
    }

    /** Returns the version, and the ID and status of each entry, for the trace log. */
    String traceText() {
        return entries.stream()
                .map(entry -> entry.id() + " " + entry.status())
                .collect(Collectors.joining(", ", "list version " + version + ": ", ""));
    }

    private static ListedEndpoint readEntry(Map<?, ?> fields) {
        EndpointStatus status = readStatus(fields);
        if (!(fields.get("id") instanceof String id)) {
            throw new MalformedInputException("list entry without id");
        }
        String address = fields.get("addr") instanceof String text ? text : null;
        if (address == null && status != EndpointStatus.REMOVED) {
            throw new MalformedInputException("list entry without addr: " + id);
        }
        return new ListedEndpoint(
                id,
                status,
                text(fields, "zone"),
                (int) number(fields, "cell", 0),
                text(fields, "kind"),
                number(fields, "weight", DEFAULT_WEIGHT),
                new WallTime(Math.round(number(fields, "started_ms", 0))),
                address == null ? null : NodeConfig.address("addr", address));
    }

    private static EndpointStatus readStatus(Map<?, ?> fields) {
        return switch (String.valueOf(fields.get("state"))) {
            case "SERVING" -> EndpointStatus.SERVING;
            case "DRAINING" -> EndpointStatus.DRAINING;
            case "DELETED" -> EndpointStatus.REMOVED;
            default -> throw new MalformedInputException("list entry with unknown state: " + fields.get("state"));
        };
    }

    private static String text(Map<?, ?> fields, String name) {
        return fields.get(name) instanceof String text ? text : "";
    }

    private static double number(Map<?, ?> fields, String name, double defaultValue) {
        return fields.get(name) instanceof Double number ? number : defaultValue;
    }
}
