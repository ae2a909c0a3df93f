package tulipshed.routing;

import tulipshed.decision.api.EndpointInfo;
import tulipshed.expression.Attribute;
import tulipshed.expression.EvaluationFrame;
import tulipshed.expression.Schema;
import tulipshed.expression.Type;

/** What expressions may ask of a pool member. */
public final class EndpointSchema {
    /** Characters of an id, a zone or a kind; a member with more is in no pool. */
    public static final int LONGEST = 256;
    /** What a member that has run for long is old, in milliseconds: a hundred years. */
    public static final long OLD_MS = 3_155_760_000_000L;

    private final Schema schema = new Schema();
    private final Attribute id = schema.add("member.id", Type.STRING, false, LONGEST);
    private final Attribute zone = schema.add("member.zone", Type.STRING, false, LONGEST);
    private final Attribute kind = schema.add("member.kind", Type.STRING, false, LONGEST);
    private final Attribute cell = schema.add("member.cell", Type.INTEGER, false, 0);
    private final Attribute weight = schema.add("member.weight", Type.DECIMAL, false, 0);
    private final Attribute age = schema.add("member.age-ms", Type.INTEGER, false, 0);

    /** The attributes. */
    public Schema schema() {
        return schema;
    }

    /** Puts one member into a frame, its age by the clock of its start; false where its texts are too long. */
    boolean fill(EvaluationFrame f, EndpointInfo e, double nowMs) {
        if (e.id().length() > LONGEST
                || e.zone().length() > LONGEST
                || e.machineType().length() > LONGEST) {
            return false;
        }
        f.begin();
        f.set(id, e.id());
        f.set(zone, e.zone());
        f.set(kind, e.machineType());
        f.set(cell, (long) e.cell());
        f.set(weight, e.weight());
        f.set(age, e.startedUs() == 0 ? OLD_MS : Math.max(0, (long) (nowMs - e.startedUs() / 1000.0)));
        return true;
    }
}
