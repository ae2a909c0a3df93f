package tulipshed.decision;

import java.util.Arrays;
import java.util.Collection;

/**
 * One machine type and an estimate of its relative speed. Listed weights need not reflect the speed, so it is estimated
 * from the distribution of adopted connections over the types and from connection setup times. Confined to the
 * event-loop thread.
 */
final class MachineType {
    /** Largest weight listed for an endpoint of this type. */
    double largestWeight;
    /** Relative speed; 1 without observations. */
    double speed = 1;

    /** Summed sizes of the ready endpoints by pool ID. */
    private double[] readySizes = new double[1];

    private double adoptedConnections;
    /** Summed size of the ready endpoints when the last adopted connection was counted. */
    private double readySizeAtAdoption;

    private double setups;
    private double relativeSetupTimeSum;

    /** Summed sizes of the ready endpoints of a pool. */
    double readySize(int poolId) {
        return poolId < readySizes.length ? readySizes[poolId] : 0;
    }

    /** Adds to the summed sizes of the ready endpoints of a pool. */
    void addReadySize(int poolId, double size) {
        if (poolId >= readySizes.length) {
            readySizes = Arrays.copyOf(readySizes, poolId + 1);
        }
        readySizes[poolId] += size;
    }

    /**
     * Counts an adopted connection of this type and records the current sizes of all types, as machines that become
     * ready later could not have received any.
     */
    void recordAdoption(Collection<MachineType> all) {
        adoptedConnections++;
        all.forEach(type -> type.readySizeAtAdoption = type.readySizes[0]);
    }

    /** Records a connection setup; {@code relativeTime} is its duration as a multiple of the average of its class. */
    void recordSetup(double relativeTime) {
        setups++;
        relativeSetupTimeSum += relativeTime;
    }

    /**
     * Adopted connections, or 0 if no endpoint of this type was ready, as draining endpoints add no size to compare
     * with.
     */
    private double informativeAdoptions() {
        return readySizeAtAdoption >= EndpointUpdater.MIN_SIZE ? adoptedConnections : 0;
    }

    /** Connection setups, or 0 if all were shorter than the clock resolution. */
    private double informativeSetups() {
        return relativeSetupTimeSum > 0 ? setups : 0;
    }

    /**
     * Estimates the speeds of all types and returns the highest.
     *
     * @param priorObservations weight of the prior assumption of equal speeds, as a number of observations
     */
    static double estimateSpeeds(Collection<MachineType> all, double priorObservations) {
        double totalReadySize = 0;
        double totalAdopted = 0;
        double setups = 0;
        double totalSetupTime = 0;
        for (MachineType type : all) {
            totalReadySize += type.readySizeAtAdoption;
            totalAdopted += type.informativeAdoptions();
            setups += type.informativeSetups();
            totalSetupTime += type.relativeSetupTimeSum;
        }
        double highest = 0;
        for (MachineType type : all) {
            double typeAdopted = type.informativeAdoptions();
            double typeSetups = type.informativeSetups();
            double byAdoptions = typeAdopted > 0
                    ? Math.log(typeAdopted / totalAdopted * totalReadySize / type.readySizeAtAdoption)
                    : 0;
            double bySetups =
                    typeSetups > 0 ? Math.log(typeSetups / setups * totalSetupTime / type.relativeSetupTimeSum) : 0;
            double observations = typeAdopted + typeSetups + priorObservations;
            type.speed = Math.exp((typeAdopted * byAdoptions + typeSetups * bySetups) / observations);
            highest = Math.max(highest, type.speed);
        }
        return highest;
    }
}
