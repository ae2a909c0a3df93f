package tulipshed.proxy;

import java.util.Map;

/** The other process of this node: it is told what stands here, and tells what stands there. */
public interface Companion {
    /** A connection that stands at a member; the group may be null. */
    record Standing(String member, String group, double hint) {}

    /** Notes one that stands here; the place where it is noted, below 0 where there is none. */
    int stands(Standing standing);

    /** What was noted in that place has ended. */
    void ended(int place);

    /** What stands there, by place. */
    Map<Integer, Standing> others();
}
