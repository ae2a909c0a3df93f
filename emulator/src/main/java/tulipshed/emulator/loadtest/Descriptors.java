package tulipshed.emulator.loadtest;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import tulipshed.emulator.scenario.RequestClassSettings;
import tulipshed.emulator.scenario.Scenario;

/** Whether the machine lets this process open as many sockets as a scenario takes. */
final class Descriptors {
    private static final int OF_A_CONNECTION = 2; // its client's end and its endpoint's
    private static final int RESERVE = 500; // classes, logs, discovery, connections that are being closed

    private Descriptors() {}

    /**
     * Does nothing where the descriptors suffice or the system does not tell its limit.
     *
     * @throws IllegalArgumentException where the scenario's listeners and connections are more than the limit
     */
    static void require(Scenario scenario, int endpoints) {
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system) {
            require(scenario, endpoints, system.getMaxFileDescriptorCount());
        }
    }

    /** The same for a given limit. */
    static void require(Scenario scenario, int endpoints, long limit) {
        double longestLifeSeconds = scenario.requestClasses().stream()
                        .mapToDouble(RequestClassSettings::connectionLifetimeMs)
                        .max()
                        .orElse(0)
                / 1000;
        double connections = Math.max(
                scenario.clients().establishedAtStart(), scenario.clients().arrivalsPerSecond() * longestLifeSeconds);
        long needed = endpoints + Math.round(OF_A_CONNECTION * connections) + RESERVE;
        if (needed > limit) {
            throw new IllegalArgumentException(
                    "over sockets, this takes " + needed + " descriptors, and the machine allows " + limit);
        }
    }
}
