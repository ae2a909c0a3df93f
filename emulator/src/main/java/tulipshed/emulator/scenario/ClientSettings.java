package tulipshed.emulator.scenario;

/**
 * How clients behave.
 *
 * @param arrivalsPerSecond new clients in a second, at all nodes together
 * @param establishedAtStart connections that are established when the run begins
 * @param groupCount number of affinity groups
 * @param groupedShare share of the clients that belong to a group
 * @param requestTimeoutShare part of the class's deadline that a client waits for the answer to one request
 * @param initialBackoffMs longest pause before the first retry, in milliseconds; it doubles with each
 * @param maxBackoffMs upper bound of that pause, in milliseconds
 * @param retryAfterCompliance probability that a rejected client waits for the Retry-After pause
 * @param maxRequests requests for one connection before a client pauses
 * @param loadChangesPerSecond rate at which a connection's load changes
 * @param loadSpread standard deviation of the logarithm of the connections' usual loads
 * @param loadSwing standard deviation of the logarithm of a connection's load around its usual load
 * @param groupSkew exponent of the Zipf distribution of the groups' popularity
 * @param reconnectDelayMs mean time until a client whose connection broke or was migrated reconnects, in milliseconds
 * @param pauseMs mean pause of a client that got no connection, in milliseconds
 * @param abandonShare share of the clients that leave before they are answered
 * @param sendsLoadHints whether requests state the usual load of the connection
 * @param reportsLoad whether clients report changes of their load
 * @param connectAtStart whether the connections of the start are requested then, instead of being established already
 */
public record ClientSettings(
        double arrivalsPerSecond,
        int establishedAtStart,
        int groupCount,
        double groupedShare,
        double requestTimeoutShare,
        double initialBackoffMs,
        double maxBackoffMs,
        double retryAfterCompliance,
        int maxRequests,
        double loadChangesPerSecond,
        double loadSpread,
        double loadSwing,
        double groupSkew,
        double reconnectDelayMs,
        double pauseMs,
        double abandonShare,
        boolean sendsLoadHints,
        boolean reportsLoad,
        boolean connectAtStart) {}
