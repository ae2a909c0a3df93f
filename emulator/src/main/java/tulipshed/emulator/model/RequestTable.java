package tulipshed.emulator.model;

import java.util.ArrayList;
import java.util.List;
import tulipshed.emulator.policy.ClientRequest;

/** The requests that a node holds: those without an answer and those whose connections are established. */
final class RequestTable {
    private final List<ClientRequest> requests = new ArrayList<>();

    /** All requests, to be changed by {@link #add} and {@link #remove} only. */
    List<ClientRequest> all() {
        return requests;
    }

    int size() {
        return requests.size();
    }

    void add(ClientRequest request) {
        request.indexAtNode = requests.size();
        requests.add(request);
    }

    /** Removes a request if it is held; the last one takes its index. */
    void remove(ClientRequest request) {
        if (request.indexAtNode < 0) {
            return;
        }
        ClientRequest last = requests.remove(requests.size() - 1);
        if (last != request) {
            requests.set(request.indexAtNode, last);
            last.indexAtNode = request.indexAtNode;
        }
        request.indexAtNode = -1;
    }
}
