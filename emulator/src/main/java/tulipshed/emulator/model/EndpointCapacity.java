package tulipshed.emulator.model;

import tulipshed.emulator.scenario.EndpointModel;
import tulipshed.emulator.scenario.EndpointType;
import tulipshed.emulator.scenario.RequestClassSettings;
import tulipshed.emulator.scenario.Scenario;

/** How much load an endpoint can serve: its size, its slow start after a start of its process, a slowdown, crowding. */
final class EndpointCapacity {
    private final EndpointType kind;
    private final EndpointModel model;
    private double startedMs;
    private double slowdown = 1;

    EndpointCapacity(EndpointType kind, EndpointModel model) {
        this.kind = kind;
        this.model = model;
    }

    /** The mean load of a connection, in cores of speed 1. */
    static double usualLoad(Scenario scenario) {
        double shares = scenario.requestClasses().stream()
                .mapToDouble(RequestClassSettings::share)
                .sum();
        return scenario.requestClasses().stream()
                .mapToDouble(c -> c.share() / shares * c.load())
                .sum();
    }

    /** A new process starts, without a slowdown. */
    void restart(double nowMs) {
        startedMs = nowMs;
        slowdown = 1;
    }

    /** From now on the endpoint is that many times slower. */
    void slowDown(double factor) {
        slowdown = factor;
    }

    double slowdown() {
        return slowdown;
    }

    /** When the process started in virtual milliseconds; 0 where it runs since before the day began. */
    double startedMs() {
        return startedMs;
    }

    /** The share of its size that the endpoint has during slow start, up to 1. */
    double warmth(double nowMs) {
        return startedMs == 0 || model.slowStartMs() <= 0
                ? 1
                : Math.min(
                        1,
                        model.slowStartShare()
                                + (1 - model.slowStartShare()) * (nowMs - startedMs) / model.slowStartMs());
    }

    boolean isInSlowStart(double nowMs) {
        return startedMs > 0 && nowMs - startedMs < model.slowStartMs();
    }

    /** The load that the endpoint can serve, in cores of speed 1. */
    double total(double nowMs) {
        return kind.cores() * kind.speed() * warmth(nowMs) / slowdown;
    }

    /** The same under a load: less where the load is more than the endpoint can serve. */
    double underLoad(double nowMs, double cores) {
        double total = total(nowMs);
        double excess = cores / total - 1;
        return excess > 0 ? total / (1 + model.contention() * excess) : total;
    }
}
