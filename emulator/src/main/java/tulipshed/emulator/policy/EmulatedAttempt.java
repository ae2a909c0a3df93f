package tulipshed.emulator.policy;

/**
 * One attempt at a member. What comes first is the node's and never read by the member, what comes after {@code place} is
 * the member's: both run at the same time.
 */
public final class EmulatedAttempt {
    public final ClientRequest of;
    /** The member's number. */
    public final int member;
    /** Which attempt of its try. */
    public final int number;

    public final double sentMs;
    /** When the member had started, as the node had been told; NaN where it is thought warm. */
    public final double believedStartMs;
    /** The node's part that it came from; what comes back goes there. */
    public final Object from;

    public final int requestClass;
    public final int tenant;
    public final int group;
    /** Nothing more is wanted of it, at the node. */
    public boolean over;
    /** What the policy keeps with it. */
    public Object kept;

    /** Its place among what stands at the member, or below 0. */
    public int place = -1;
    /** Whether the node has given it up, as the member knows. */
    public boolean dropped;

    public double load;

    public EmulatedAttempt(ClientRequest of, int member, double sentMs, double believedStartMs, Object from) {
        this.of = of;
        this.member = member;
        this.number = of.attempts;
        this.sentMs = sentMs;
        this.believedStartMs = believedStartMs;
        this.from = from;
        requestClass = of.wish.requestClass;
        tenant = of.wish.tenant;
        group = of.wish.group;
        load = of.wish.load;
    }
}
