package tulipshed.lineprotocol;

import java.util.HashSet;
import java.util.Set;
import tulipshed.transport.HotRestartState;

/** The IDs of the requests that are open in this process or its hot-restart peer. Confined to the event-loop thread. */
final class OpenRequestIds {
    private final Set<String> openIds = new HashSet<>();
    private final HotRestartState hotRestartState;

    OpenRequestIds(HotRestartState hotRestartState) {
        this.hotRestartState = hotRestartState;
    }

    /** Claims the ID for one request; returns false if another open request of either process has it. */
    boolean claim(String id) {
        if (!openIds.add(id)) {
            return false;
        }
        if (!hotRestartState.claimId(id)) {
            openIds.remove(id);
            return false;
        }
        return true;
    }

    /** Releases a claimed ID. */
    void release(String id) {
        openIds.remove(id);
        hotRestartState.releaseId(id);
    }
}
