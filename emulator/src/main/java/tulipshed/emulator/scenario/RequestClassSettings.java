package tulipshed.emulator.scenario;

/**
 * A request class.
 *
 * @param name name of the class
 * @param share its part of the requests, relative to those of the other classes
 * @param latencyObjectiveMs time within which a connection should be established, in milliseconds
 * @param deadlineMs time that a client waits, over all its requests for one connection, in milliseconds
 * @param priorityWeight worth of a request that meets its objective
 * @param messageObjectiveMs time within which a message should be answered, in milliseconds
 * @param connectionLifetimeMs mean lifetime of a connection, in milliseconds
 * @param load mean load of a connection at its endpoint, in cores of speed 1
 */
public record RequestClassSettings(
        String name,
        double share,
        double latencyObjectiveMs,
        double deadlineMs,
        double priorityWeight,
        double messageObjectiveMs,
        double connectionLifetimeMs,
        double load) {}
