package tulipshed.discovery;

import java.util.List;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.proxy.EndpointListEntry;

/** Receives each list, and each failure that the decision module has to be notified of. */
interface EndpointListListener {
    /** A list arrived, or a call failed, which brings no entries. */
    void endpointsChanged(EndpointListKind kind, List<EndpointListEntry> entries);
}
