package tulipshed.routing;

import tulipshed.decision.api.EndpointInfo;
import tulipshed.expression.Attribute;
import tulipshed.expression.EvaluationFrame;
import tulipshed.expression.Schema;
import tulipshed.expression.Type;

/** The attributes of an endpoint in expressions. Defines their external names, as used in the operators' file. */
public final class EndpointSchema {
    /** Maximum number of characters of an ID, zone or machine type; an endpoint that exceeds it belongs to no pool. */
    private static final int MAX_STRING_LENGTH = 256;
    /** Age of an endpoint whose start time is unknown, in milliseconds: a hundred years. */
    private static final long UNKNOWN_AGE_MS = 3_155_760_000_000L;

    private static final double US_PER_MS = 1000.0;

    private final Schema schema = new Schema();
    private final Attribute id = schema.add("member.id", Type.STRING, false, MAX_STRING_LENGTH);
    private final Attribute zone = schema.add("member.zone", Type.STRING, false, MAX_STRING_LENGTH);
    private final Attribute machineType = schema.add("member.kind", Type.STRING, false, MAX_STRING_LENGTH);
    private final Attribute cell = schema.add("member.cell", Type.INTEGER, false, 0);
    private final Attribute weight = schema.add("member.weight", Type.DECIMAL, false, 0);
    private final Attribute ageMs = schema.add("member.age-ms", Type.INTEGER, false, 0);

    /** Returns the attributes. */
    public Schema schema() {
        return schema;
    }

    /**
     * Sets the attributes of an endpoint in a frame.
     *
     * @param nowMs the present time, on the clock of the endpoint's start time
     * @return false if a string is too long; the frame is then unchanged
     */
    boolean fill(EvaluationFrame frame, EndpointInfo endpoint, double nowMs) {
        if (endpoint.id().length() > MAX_STRING_LENGTH
                || endpoint.zone().length() > MAX_STRING_LENGTH
                || endpoint.machineType().length() > MAX_STRING_LENGTH) {
            return false;
        }
        frame.begin();
        frame.set(id, endpoint.id());
        frame.set(zone, endpoint.zone());
        frame.set(machineType, endpoint.machineType());
        frame.set(cell, (long) endpoint.cell());
        frame.set(weight, endpoint.weight());
        frame.set(ageMs, ageMs(endpoint, nowMs));
        return true;
    }

    private static long ageMs(EndpointInfo endpoint, double nowMs) {
        return endpoint.startedUs() == 0
                ? UNKNOWN_AGE_MS
                : Math.max(0, (long) (nowMs - endpoint.startedUs() / US_PER_MS));
    }
}
