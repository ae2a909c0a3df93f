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
 * Discovery's endpoint list, or the changes to it.
 *
 * @param version the version of the list with these entries
 * @param full whether the entries are the full list rather than the changes since the version requested
 * @param entries the endpoints, or the changed ones among them
 */
public record EndpointListUpdate(long version, boolean full, List<ListedEndpoint> entries) {
    private static final double DEFAULT_WEIGHT = 1;

    /**
     * Reads discovery's JSON form, whose field names differ from those of the code: {@code servers} are the entries, and of
     * an entry {@code addr} is the address, {@code state} the status, {@code kind} the machine type and {@code started_ms}
     * the start.
     *
     * @throws MalformedInputException if it is not of that form; the message says what is wrong
     */
    public static EndpointListUpdate read(Map<String, Object> json) {
        if (!(json.get("version") instanceof Double version) || !(json.get("servers") instanceof List<?> servers)) {
            throw new MalformedInputException("a list without version or servers");
        }
        List<ListedEndpoint> entries = new ArrayList<>();
        for (Object server : servers) {
            if (!(server instanceof Map<?, ?> fields)) {
                throw new MalformedInputException("a list entry that is not an object");
            }
            entries.add(readEntry(fields));
        }
        return new EndpointListUpdate(version.longValue(), Boolean.TRUE.equals(json.get("full")), entries);
    }

    /** Returns its version and what each entry says of its endpoint, for the log. */
    String traceText() {
        return entries.stream()
                .map(entry -> entry.id() + " " + entry.status())
                .collect(Collectors.joining(", ", "list version " + version + ": ", ""));
    }

    private static ListedEndpoint readEntry(Map<?, ?> fields) {
        EndpointStatus status = readStatus(fields);
        if (!(fields.get("id") instanceof String id)) {
            throw new MalformedInputException("a list entry without id");
        }
        String address = fields.get("addr") instanceof String text ? text : null;
        if (address == null && status != EndpointStatus.REMOVED) {
            throw new MalformedInputException("a list entry without addr: " + id);
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
            default -> throw new MalformedInputException("unknown state " + fields.get("state"));
        };
    }

    private static String text(Map<?, ?> fields, String name) {
        return fields.get(name) instanceof String text ? text : "";
    }

    private static double number(Map<?, ?> fields, String name, double defaultValue) {
        return fields.get(name) instanceof Double number ? number : defaultValue;
    }
}
