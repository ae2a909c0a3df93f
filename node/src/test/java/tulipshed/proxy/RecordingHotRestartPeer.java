package tulipshed.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A hot-restart peer whose connections the test sets and which records those published to it. */
final class RecordingHotRestartPeer implements HotRestartPeer {
    private static final int SLOT = 7;

    final Map<Integer, EstablishedConnection> connections = new HashMap<>();
    /** Published connections and withdrawn slots, in order. */
    final List<Object> published = new ArrayList<>();

    @Override
    public int connectionEstablished(EstablishedConnection connection) {
        published.add(connection);
        return SLOT;
    }

    @Override
    public void connectionEnded(int slot) {
        published.add(slot);
    }

    @Override
    public Map<Integer, EstablishedConnection> peerConnections() {
        return connections;
    }
}
