package tulipshed.discovery;

import java.util.List;
import tulipshed.decision.api.EndpointListKind;
import tulipshed.proxy.EndpointListEntry;

/** Receives each endpoint list, and each failed call that the decision module must be notified of. */
interface EndpointListListener {
    /** Called when a list arrived, or when a call failed, in which case {@code entries} is empty. */
    void endpointsChanged(EndpointListKind kind, List<EndpointListEntry> entries);
}
