package tulipshed.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NodeConfig;
import tulipshed.decision.BalancerApi.EndpointInfo;
import tulipshed.decision.BalancerApi.EndpointStatus;
import tulipshed.proxy.EndpointListEntry;
import tulipshed.time.Clock;

/** Discovery's list, or a change to it: its version, whether it is the whole, and its entries. */
public record EndpointListUpdate(long version, boolean full, List<EndpointListEntry> entries) {

    /** Reads discovery's form; a {@link MalformedInputException} tells what is wrong with it. */
    public static EndpointListUpdate read(Map<String, Object> json) {
        if (!(json.get("version") instanceof Double version) || !(json.get("servers") instanceof List<?> servers)) {
            throw new MalformedInputException("a list without version or servers");
        }
        List<EndpointListEntry> members = new ArrayList<>();
        for (Object server : servers) {
            if (!(server instanceof Map<?, ?> entry)) {
                throw new MalformedInputException("a list entry that is not an object");
            }
            members.add(member(entry));
        }
        return new EndpointListUpdate(version.longValue(), Boolean.TRUE.equals(json.get("full")), members);
    }

    private static EndpointListEntry member(Map<?, ?> entry) {
        EndpointStatus state = switch (String.valueOf(entry.get("state"))) {
            case "SERVING" -> EndpointStatus.SERVING;
            case "DRAINING" -> EndpointStatus.DRAINING;
            case "DELETED" -> EndpointStatus.REMOVED;
            default -> throw new MalformedInputException("unknown state " + entry.get("state"));
        };
        if (!(entry.get("id") instanceof String id)) {
            throw new MalformedInputException("a list entry without id");
        }
        String address = entry.get("addr") instanceof String a ? a : null;
        if (address == null && state != EndpointStatus.REMOVED) {
            throw new MalformedInputException("a list entry without addr: " + id);
        }
        EndpointInfo told = new EndpointInfo(
                id,
                state,
                text(entry, "zone"),
                (int) number(entry, "cell", 0),
                text(entry, "kind"),
                number(entry, "weight", 1),
                Clock.toMicros(number(entry, "started_ms", 0)));
        return new EndpointListEntry(told, address == null ? null : NodeConfig.address("addr", address));
    }

    private static String text(Map<?, ?> entry, String key) {
        return entry.get(key) instanceof String s ? s : "";
    }

    private static double number(Map<?, ?> entry, String key, double otherwise) {
        return entry.get(key) instanceof Double d ? d : otherwise;
    }
}
