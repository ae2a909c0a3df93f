package tulipshed.lab.policy;

import java.util.List;
import tulipshed.decision.BalancerApi.ListKind;
import tulipshed.proxy.ListedMember;

/** What discovery tells of one member, by number; the entry is shared by all nodes. */
public record MemberNews(int member, ListedMember listed) {
    /** A list, or a change to one. */
    public record Batch(ListKind kind, List<MemberNews> news) {}

    public boolean serving() {
        return listed.entry().state() == tulipshed.decision.BalancerApi.ServerState.SERVING;
    }
}
