package tulipshed.emulator.scenario;

/**
 * How nodes learn of endpoints.
 *
 * @param propagationDelayMs time from a change to its delivery, in milliseconds
 * @param failureDetectionMs time until the failure of a process that closes its connections is known, in milliseconds
 * @param silentFailureDetectionMs the same for a process that fails silently, in milliseconds
 * @param callsPerSecond calls that discovery serves in a second
 * @param callQueueLimit calls that may wait for discovery; further ones fail
 * @param pollIntervalMs time within which a node must have asked again, in milliseconds
 * @param pushed whether lists are pushed to an agent on each node's machine, which answers without a call to discovery and
 *     learns nothing while discovery is unreachable
 */
public record DiscoverySettings(
        double propagationDelayMs,
        double failureDetectionMs,
        double silentFailureDetectionMs,
        double callsPerSecond,
        double callQueueLimit,
        double pollIntervalMs,
        boolean pushed) {}
