package tulipshed.lab.policy;

import java.util.List;
import tulipshed.decision.BalancerApi.EndpointListKind;
import tulipshed.proxy.EndpointListEntry;

/** What discovery tells of one member, by number; the entry is shared by all nodes. */
public record MemberNews(int member, EndpointListEntry listed) {
    /** A list, or a change to one. */
    public record Batch(EndpointListKind kind, List<MemberNews> news) {}

    public boolean serving() {
        return listed.info().status() == tulipshed.decision.BalancerApi.EndpointStatus.SERVING;
    }
}
