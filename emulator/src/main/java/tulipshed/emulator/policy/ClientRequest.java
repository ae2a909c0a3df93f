package tulipshed.emulator.policy;

import tulipshed.emulator.invariants.NodeInvariants;

/** One coming of a client to a node, from its asking to the end of what came of it. */
public final class ClientRequest {
    public final long id;
    public final ClientDemand wish;
    public final double askedMs;
    public final double deadlineMs;
    public final NodeInvariants.Watched watched;
    /** Whether its final answer is still owed. */
    public boolean owed = true;

    /** Whether the process has read it. */
    public boolean arrived;

    public boolean standing;
    /** Whether its client has waited in vain and gone on. */
    public boolean gone;
    /** The flow that is out or stands, or null. */
    public EmulatedAttempt flow;

    public int attempts;
    /** Its place among what the node holds. */
    public int place = -1;
    /** The process that decides of it, where a node has several. */
    Object process;
    /** What the policy keeps with it. */
    public Object kept;

    public ClientRequest(
            long id, ClientDemand wish, double askedMs, double deadlineMs, NodeInvariants.Watched watched) {
        this.id = id;
        this.wish = wish;
        this.askedMs = askedMs;
        this.deadlineMs = deadlineMs;
        this.watched = watched;
    }

    public double leftMs(double nowMs) {
        return deadlineMs - nowMs;
    }
}
