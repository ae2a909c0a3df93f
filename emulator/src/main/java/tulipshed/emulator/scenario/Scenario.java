package tulipshed.emulator.scenario;

import java.util.List;

/** All that an emulated day is made of but its seed. Times in milliseconds, loads in cores, shares of one. */
public record Scenario(
        String name,
        double lengthMs,
        double settleMs,
        String policy,
        Network network,
        Nodes nodes,
        List<MemberKind> kinds,
        MemberModel members,
        Discovery discovery,
        List<ClassOf> classes,
        List<TenantOf> tenants,
        Clients clients,
        List<Trouble> troubles) {

    /** Ways between parts: within a site and between sites, one way, with exponential jitter on top. */
    public record Network(int sites, double withinMs, double betweenMs, double jitterMs) {
        /** The shortest way that there is, the engine's window. */
        public double leastMs() {
            return Math.min(withinMs, sites > 1 ? betweenMs : withinMs);
        }
    }

    /** Nodes behind a front layer; skew 0 spreads clients evenly, 1 gives the first node twice the last one's share. */
    public record Nodes(
            int count,
            double skew,
            double restartMs,
            double leaveMs,
            boolean groups,
            boolean cancel,
            int maxAttempts,
            double maxRetryAfterMs,
            double connectTimeoutMs) {}

    /** Members of one kind; share is what discovery's list says of their size. */
    public record MemberKind(String name, int count, int cores, double speed, double share) {}

    /** How members behave, whatever their kind. */
    public record MemberModel(
            /** Work of taking a connection, on a core of speed 1. */
            double setupMs,
            /** Whether that work is spread exponentially rather than always the same. */
            boolean exponential,
            /** Connections that may wait to be taken for each core; more are turned away. */
            int queue,
            /** Time until a member that has started is warm, and the share of its capacity that it starts with. */
            double warmMs,
            double coldShare,
            /** A cold member that is sent more than this many times its present capacity for that time falls over. */
            double fallFactor,
            double fallMs,
            /** How much of its capacity a member loses for each time over that its load exceeds it. */
            double crowding,
            /** What a message takes at an idle member. */
            double messageMs,
            /** With more work piled up than this a member resets that part of what stands, the heaviest first. */
            double resetBacklogMs,
            double resetShare,
            /** Connections that a member holds at most, as a multiple of those that usually fill it. */
            double cap,
            /** New connections that a warm member can take while another warms up, in fills of its capacity. */
            double fills,
            /** From draining to sending clients away, and from the end of a process to the start of the next. */
            double drainMs,
            double restartMs,
            /** Work a second of a group at each member that holds any of it, in cores. */
            double groupLoad,
            /** Whether nodes are told how long messages take at a member; on sockets they are not. */
            boolean tellsDelay,
            /** How long after the news that a member drains or is gone something new may still be sent to it. */
            double drainGraceMs) {}

    /** How nodes learn of members. */
    public record Discovery(
            double lagMs,
            double detectMs,
            double silentMs,
            double callsPerS,
            double waiting,
            double askWithinMs,
            /** Whether lists are pushed to an agent on each node's machine, which answers at no cost and learns nothing while it is dark. */
            boolean pushed) {}

    /** A class of transactions. */
    public record ClassOf(
            String name,
            double share,
            double aimMs,
            double deadlineMs,
            double worth,
            double messageAimMs,
            double lifeMs,
            double load) {}

    /** A tenant: its part of the service, what it may open a second, and its part of what is asked. */
    public record TenantOf(String name, double share, double quotaPerS, double asks) {}

    /** Clients: new ones a second at all nodes, those that stand at the start, and how they try again. */
    public record Clients(
            double perSecond,
            int standing,
            int groups,
            double grouped,
            double tryShare,
            double backoffMs,
            double longestBackoffMs,
            double heed,
            int tries,
            double loadChangesPerS,
            double loadSpread,
            double loadSwing,
            double groupSkew,
            double returnMs,
            double restMs,
            double giveUpShare,
            boolean hints,
            boolean tellsLoad,
            boolean comeAtFirst) {}

    /** Something that goes wrong, or is done, at a time, for a time. */
    public record Trouble(double atMs, String kind, double share, double overMs, double factor, int count) {}
}
