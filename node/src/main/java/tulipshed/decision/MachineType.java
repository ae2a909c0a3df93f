package tulipshed.decision;

import java.util.Arrays;
import java.util.Collection;

/**
 * One kind of machine, and what was seen of its speed. The list's share may say nothing of it, so it is
 * estimated: from how the connections already open at the start were spread, and from setup times.
 */
final class MachineType {
    /** Largest share listed. */
    double size;
    /** Sizes of the ready servers, summed for each fleet by its number. */
    private double[] readySizes = new double[1];
    /** Relative speed, 1 where nothing is known. */
    double speed = 1;

    private double opened;
    private double sizeThen;
    private double setups;
    private double setupTime;

    /** Sizes of the ready servers of a fleet, summed. */
    double readySize(int fleet) {
        return fleet < readySizes.length ? readySizes[fleet] : 0;
    }

    /** That sum changes. */
    void ready(int fleet, double size) {
        if (fleet >= readySizes.length) {
            readySizes = Arrays.copyOf(readySizes, fleet + 1);
        }
        readySizes[fleet] += size;
    }

    /** A connection was open at the start, over all kinds as they are now: later machines bore none. */
    void foundOpen(Collection<MachineType> all) {
        opened++;
        all.forEach(k -> k.sizeThen = k.readySizes[0]);
    }

    /** A connection was set up in this multiple of the usual time. */
    void setUp(double relativeTime) {
        setups++;
        setupTime += relativeTime;
    }

    /**
     * Estimates all speeds and returns the highest; the belief that they are equal counts as {@code prior}
     * observations.
     */
    static double estimate(Collection<MachineType> all, double prior) {
        double size = 0;
        double opened = 0;
        double setups = 0;
        double time = 0;
        for (MachineType k : all) {
            size += k.sizeThen;
            opened += k.opened;
            setups += k.setups;
            time += k.setupTime;
        }
        double highest = 0;
        for (MachineType k : all) {
            double byOpened = k.opened > 0 ? Math.log(k.opened / opened * size / k.sizeThen) : 0;
            double bySetups = k.setups > 0 ? Math.log(k.setups / setups * time / k.setupTime) : 0;
            double seen = k.opened + k.setups + prior;
            k.speed = Math.exp((k.opened * byOpened + k.setups * bySetups) / seen);
            highest = Math.max(highest, k.speed);
        }
        return highest;
    }
}
