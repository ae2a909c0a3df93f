package tulipshed.emulator.model;

import org.apache.commons.rng.UniformRandomProvider;

/** What goes wrong between a member and those that ask it for a connection: shares of the askings, 0 on a good day. */
final class EndpointFaults {
    /** What becomes of one asking. */
    enum Fate {
        SERVED,
        ANSWER_LOST,
        ANSWER_SPOILT,
        RESET,
        ERROR
    }

    private final UniformRandomProvider random;
    private final double[] shares = new double[Fate.values().length];
    private boolean any;

    EndpointFaults(UniformRandomProvider random) {
        this.random = random;
    }

    /** That share of the askings has this fate from now on. */
    void share(Fate fate, double share) {
        shares[fate.ordinal()] = share;
        any = false;
        for (double s : shares) {
            any |= s > 0;
        }
    }

    /** A fate that the member meets out with its answer, once it has taken the connection. */
    Fate answer() {
        return draw(Fate.ANSWER_LOST, Fate.ANSWER_SPOILT, Fate.RESET);
    }

    /** Whether it turns an asking away with an error at once, before any work. */
    boolean error() {
        return draw(Fate.ERROR) == Fate.ERROR;
    }

    private Fate draw(Fate... fates) {
        // No chance is spent on a good day: days without faults stay what they were.
        if (any) {
            double x = random.nextDouble();
            for (Fate f : fates) {
                x -= shares[f.ordinal()];
                if (x < 0) {
                    return f;
                }
            }
        }
        return Fate.SERVED;
    }
}
