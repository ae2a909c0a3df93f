package tulipshed.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;

/**
 * Where this node hears other nodes, where each of them is sent to and known by, in the order of their numbers, and the
 * address that reaches all others; {@code self} is this node's own number.
 */
public record PeerConfig(
        InetSocketAddress listen, List<InetSocketAddress> peers, InetSocketAddress broadcast, int nodeIndex) {

    /** Null where the settings allow none or no address to listen on is named. */
    static PeerConfig read(Map<String, Object> json, boolean allowed, int self) {
        if (!allowed || json.get("peer_listen") == null) {
            return null;
        }
        if (!(json.get("peers") instanceof List<?> listed)) {
            throw new MalformedInputException("peers is not a list");
        }
        List<InetSocketAddress> peers = new ArrayList<>();
        for (Object peer : listed) {
            peers.add(address("an entry of peers", peer));
        }
        if (new HashSet<>(peers).size() < peers.size()) {
            throw new MalformedInputException("peers has an address twice");
        }
        return new PeerConfig(
                address("peer_listen", json.get("peer_listen")),
                List.copyOf(peers),
                address("peers_all", json.get("peers_all")),
                self);
    }

    private static InetSocketAddress address(String what, Object value) {
        return NodeConfig.address(what, value instanceof String text ? text : null);
    }
}
