package tulipshed.emulator.loadtest;

import java.util.Locale;
import tulipshed.emulator.policy.ClientDemand;
import tulipshed.emulator.scenario.Scenario;

/** The first line of a client's connection. */
final class OpenCommandLine {
    private OpenCommandLine() {}

    /** The line, without its end, of a request with that ID whose client waits for so long. */
    static String of(Scenario scenario, String id, ClientDemand demand, double waitMs) {
        return String.format(
                Locale.ROOT,
                "OPEN %s k%s c=%s,t=%s,d=%d%s%s",
                id,
                id,
                scenario.requestClasses().get(demand.requestClass).name(),
                scenario.tenants().get(demand.tenant).name(),
                Math.round(waitMs),
                demand.group < 0 ? "" : ",g=g" + demand.group,
                demand.reconnecting ? ",again=1" : "");
    }
}
