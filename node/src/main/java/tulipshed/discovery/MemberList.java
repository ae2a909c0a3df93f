package tulipshed.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tulipshed.config.MalformedInput;
import tulipshed.config.NodeConfig;
import tulipshed.decision.BalancerApi.ServerEntry;
import tulipshed.decision.BalancerApi.ServerState;
import tulipshed.time.Clock;
import tulipshed.proxy.ListedMember;

/** Discovery's list, or a change to it: its version, whether it is the whole, and its entries. */
public record MemberList(long version, boolean full, List<ListedMember> members) {

    /** Reads discovery's form; a {@link MalformedInput} tells what is wrong with it. */
    public static MemberList read(Map<String, Object> json) {
        if (!(json.get("version") instanceof Double version) || !(json.get("servers") instanceof List<?> servers)) {
            throw new MalformedInput("a list without version or servers");
        }
        List<ListedMember> members = new ArrayList<>();
        for (Object server : servers) {
            if (!(server instanceof Map<?, ?> entry)) {
                throw new MalformedInput("a list entry that is not an object");
            }
            members.add(member(entry));
        }
        return new MemberList(version.longValue(), Boolean.TRUE.equals(json.get("full")), members);
    }

    private static ListedMember member(Map<?, ?> entry) {
        ServerState state = switch (String.valueOf(entry.get("state"))) {
            case "SERVING" -> ServerState.SERVING;
            case "DRAINING" -> ServerState.DRAINING;
            case "DELETED" -> ServerState.GONE;
            default -> throw new MalformedInput("unknown state " + entry.get("state"));
        };
        if (!(entry.get("id") instanceof String id)) {
            throw new MalformedInput("a list entry without id");
        }
        String address = entry.get("addr") instanceof String a ? a : null;
        if (address == null && state != ServerState.GONE) {
            throw new MalformedInput("a list entry without addr: " + id);
        }
        ServerEntry told = new ServerEntry(
                id,
                state,
                text(entry, "zone"),
                (int) number(entry, "cell", 0),
                text(entry, "kind"),
                number(entry, "weight", 1),
                Clock.toMicros(number(entry, "started_ms", 0)));
        return new ListedMember(told, address == null ? null : NodeConfig.address("addr", address));
    }

    private static String text(Map<?, ?> entry, String key) {
        return entry.get(key) instanceof String s ? s : "";
    }

    private static double number(Map<?, ?> entry, String key, double otherwise) {
        return entry.get(key) instanceof Double d ? d : otherwise;
    }
}
