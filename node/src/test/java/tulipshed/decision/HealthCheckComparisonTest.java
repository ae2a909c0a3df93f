package tulipshed.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static tulipshed.decision.BalancerSetup.endpointName;
import static tulipshed.decision.BalancerSetup.request;

import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.decision.api.LoadReport;
import tulipshed.decision.api.LoadReportSource;
import tulipshed.decision.api.Outcome;
import tulipshed.decision.api.Prices;

/** Comparison of two candidates by health checks. */
class HealthCheckComparisonTest {
    private final BalancerSetup setup = new BalancerSetup();
    private final RecordingActions recorder = setup.recorder;

    @Test
    void choosesLessLoadedByReportWhereHealthChecksAreCheap() {
        setup.healthChecks = true;
        setup.loadReportSource = LoadReportSource.HEALTH_CHECKS;
        Balancer balancer = setup.balancerWithEndpoints(2);
        balancer.requestArrived(0, request(1));
        List<String> actions = recorder.take();
        assertTrue(
                actions.contains("check " + endpointName(0)) && actions.contains("check " + endpointName(1)),
                actions.toString());
        assertEquals(3, actions.size(), "two health checks and a timer, no attempt yet");
        balancer.healthCheckCompleted(1000, endpointName(0), Outcome.OK, report(0.9));
        assertEquals(List.of(), recorder.take());
        balancer.healthCheckCompleted(2000, endpointName(1), Outcome.OK, report(0.4));
        assertEquals(List.of("start 1 " + endpointName(1)), recorder.take());
        // The reports are still current, so there is no further health check, and the choice is the same.
        balancer.requestArrived(3000, request(2));
        assertEquals(List.of("start 2 " + endpointName(1)), recorder.take());
    }

    @Test
    void missingResponseDelaysRequestOnlyForWaitTime() {
        setup.healthChecks = true;
        setup.loadReportSource = LoadReportSource.HEALTH_CHECKS;
        Balancer balancer = setup.balancerWithEndpoints(2);
        balancer.requestArrived(0, request(1));
        String timer = recorder.take().get(2);
        balancer.timerFired(200_000, Long.parseLong(timer.split(" ")[2]));
        assertEquals(
                1,
                recorder.take().stream()
                        .filter(line -> line.startsWith("start 1 "))
                        .count());
        balancer.healthCheckCompleted(300_000, endpointName(0), Outcome.TIMEOUT, LoadReport.NONE);
        assertEquals(List.of(), recorder.take());
    }

    /** Neither the health check results nor the end of the wait may start an attempt. */
    @Test
    void startsNoAttemptForClientThatDisconnectedDuringHealthChecks() {
        setup.healthChecks = true;
        setup.loadReportSource = LoadReportSource.HEALTH_CHECKS;
        Balancer balancer = setup.balancerWithEndpoints(2);
        balancer.requestArrived(0, request(1));
        long token = Long.parseLong(recorder.take().get(2).split(" ")[2]);
        balancer.requestCancelled(500, 1);
        balancer.healthCheckCompleted(1000, endpointName(0), Outcome.OK, report(0.9));
        balancer.healthCheckCompleted(2000, endpointName(1), Outcome.OK, report(0.4));
        balancer.timerFired(150_000, token);
        assertEquals(List.of(), recorder.take());
        assertEquals(0, balancer.parts.requests.size());
    }

    @Test
    void startsNoHealthCheckWhereItIsExpensive() {
        setup.healthChecks = true;
        setup.loadReportSource = LoadReportSource.HEALTH_CHECKS;
        setup.prices = new Prices(0, 0, 0.5, 0, 0);
        Balancer balancer = setup.balancerWithEndpoints(2);
        balancer.requestArrived(0, request(1));
        recorder.attemptedEndpoint();
    }

    private static LoadReport report(double load) {
        double absent = Double.NaN;
        return new LoadReport(absent, absent, absent, absent, absent, absent, load, absent);
    }
}
