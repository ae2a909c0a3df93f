package tulipshed.emulator.scenario;

/**
 * How endpoints behave, whatever their type.
 *
 * @param setupMs work of establishing a connection, in milliseconds of a core of speed 1
 * @param exponentialSetup whether that work is exponentially distributed instead of constant
 * @param queuePerCore connections that may wait to be established for each core; further ones are rejected
 * @param slowStartMs time until a new process has its full capacity, in milliseconds
 * @param slowStartShare share of the capacity that a new process starts with
 * @param overloadFactor the process fails if it receives more than this multiple of its present capacity during slow start
 * @param overloadWindowMs the window over which the received work is measured, in milliseconds
 * @param contention relative loss of capacity for each multiple by which the load exceeds the capacity
 * @param messageMs time that a message takes at an idle endpoint, in milliseconds
 * @param resetBacklogMs backlog, in milliseconds of work, above which the endpoint resets connections, the heaviest first
 * @param resetShare share of its connections that it then resets
 * @param connectionLimitFactor limit of connections, as a multiple of those whose mean load fills the capacity
 * @param connectionRateFills new connections that an endpoint in slow start can take while another warms up, as a multiple
 *     of those that fill its capacity
 * @param drainMs time from the start of draining until the endpoint sends its clients away, in milliseconds
 * @param restartMs time from the end of a process to the start of the next, in milliseconds
 * @param groupLoad load of an affinity group at each endpoint that serves any of it, in cores of speed 1
 * @param reportsLatency whether nodes observe the message latency at an endpoint; in load tests on sockets they do not
 * @param drainGraceMs time after the notification that an endpoint drains or is removed during which nodes may still start
 *     attempts at it, in milliseconds
 */
public record EndpointModel(
        double setupMs,
        boolean exponentialSetup,
        int queuePerCore,
        double slowStartMs,
        double slowStartShare,
        double overloadFactor,
        double overloadWindowMs,
        double contention,
        double messageMs,
        double resetBacklogMs,
        double resetShare,
        double connectionLimitFactor,
        double connectionRateFills,
        double drainMs,
        double restartMs,
        double groupLoad,
        boolean reportsLatency,
        double drainGraceMs) {}
