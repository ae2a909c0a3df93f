package tulipshed.decision;

import java.util.ArrayList;
import java.util.List;
import tulipshed.decision.BalancerApi.EndpointInfo;

/** One server as one balancer sees it, and the fleets that it belongs to. What follows from it is Balancer's to say. */
final class EndpointState extends IndexedSet.Member {
    final String name;
    final long hash;
    /** The whole fleet first, then the named ones. */
    final List<EndpointPool> fleets = new ArrayList<>(1);

    MachineType kind;
    double size;
    EndpointInfo entry;
    int limit;
    int pending;
    int open;
    double openLoad;
    boolean stood;
    boolean gone;
    long ejectedUntil;
    double credit;
    long creditAt;
    int ejections;
    boolean failing;
    int failures;
    long failedAt;
    double reported;
    long reportedAt = Long.MIN_VALUE / 2;
    double delayMs;
    long delayAt = Long.MIN_VALUE / 2;

    EndpointState(String name, int limit, EndpointPool whole) {
        this.name = name;
        this.limit = limit;
        hash = Hashing.of(name);
        fleets.add(whole);
    }

    double weight() {
        return size * kind.speed;
    }
}
