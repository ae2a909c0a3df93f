package tulipshed.emulator.loadtest;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * What one node used over a run.
 *
 * @param node number of the node
 * @param cpuSeconds processor time of all its processes, start included
 * @param peakMemoryMib the largest resident memory of any of its processes
 * @param peakDescriptors the most descriptors that a sample found open
 * @param endpointConnections connections to endpoints on which a request came
 * @param listBytes bytes of the endpoint lists and changes that discovery sent it
 * @param requests requests of clients
 * @param served requests that were answered as established
 */
public record NodeUsage(
        int node,
        double cpuSeconds,
        double peakMemoryMib,
        int peakDescriptors,
        long endpointConnections,
        long listBytes,
        long requests,
        long served) {

    /** The part of the requests that were served, 1 where there were none. */
    public double servedShare() {
        return requests == 0 ? 1 : (double) served / requests;
    }

    /** The mean of a figure over all nodes. */
    public static double mean(List<NodeUsage> nodes, ToDoubleFunction<NodeUsage> figure) {
        return nodes.stream().mapToDouble(figure).average().orElse(0);
    }
}
