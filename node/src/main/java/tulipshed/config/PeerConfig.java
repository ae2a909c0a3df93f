package tulipshed.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;

/**
 * The addresses for peer messages.
 *
 * @param listen the address on which this node receives; external name {@code peer_listen}
 * @param peers the address from which each node sends and on which it receives, by node index, including this node;
 *     external name {@code peers}
 * @param broadcast the address that reaches all other nodes; external name {@code peers_all}
 * @param nodeIndex the index of this node in {@code peers}
 */
public record PeerConfig(
        InetSocketAddress listen, List<InetSocketAddress> peers, InetSocketAddress broadcast, int nodeIndex) {

    /**
     * Reads the addresses from the configuration file.
     *
     * @param allowed whether the settings permit peer messages
     * @return null if the settings do not permit them, or if the file has no {@code peer_listen}
     * @throws MalformedInputException if an address is malformed or listed twice
     */
    static PeerConfig read(Map<String, Object> json, boolean allowed, int nodeIndex) {
        if (!allowed || json.get("peer_listen") == null) {
            return null;
        }
        List<InetSocketAddress> peers = peers(json.get("peers"));
        return new PeerConfig(
                address("peer_listen", json.get("peer_listen")),
                peers,
                address("peers_all", json.get("peers_all")),
                nodeIndex);
    }

    private static List<InetSocketAddress> peers(Object value) {
        if (!(value instanceof List<?> entries)) {
            throw MalformedInputException.unexpectedValue("peers", "a list");
        }
        List<InetSocketAddress> peers = new ArrayList<>();
        for (Object entry : entries) {
            peers.add(address("an entry of peers", entry));
        }
        if (new HashSet<>(peers).size() < peers.size()) {
            throw new MalformedInputException("peers has an address twice");
        }
        return List.copyOf(peers);
    }

    private static InetSocketAddress address(String fieldName, Object value) {
        return NodeConfig.address(fieldName, value instanceof String text ? text : null);
    }
}
