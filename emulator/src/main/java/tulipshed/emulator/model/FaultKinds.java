package tulipshed.emulator.model;

import java.util.Map;
import tulipshed.emulator.scenario.FaultSettings;

/** The kinds of faults by their names in scenario files. */
final class FaultKinds {
    private static final FaultKind NONE = (trouble, plan) -> {
        throw new IllegalArgumentException(
                trouble.kind() + " needs links between real processes: emulator fault-injection");
    };

    private static final Map<String, FaultKind> BY_NAME = Map.ofEntries(
            Map.entry("add-members", new AddEndpointsFault()),
            Map.entry("deploy-members", new DrainEndpointsFault(true)),
            Map.entry("remove-members", new DrainEndpointsFault(false)),
            Map.entry("kill-members", new KillEndpointsFault(false)),
            Map.entry("crash-members", new KillEndpointsFault(true)),
            Map.entry("slow-members", new SlowEndpointsFault()),
            Map.entry("failing-members", new FailingEndpointsFault()),
            Map.entry("pause-members", new PauseEndpointsFault()),
            Map.entry("silence-members", new SilenceEndpointsFault()),
            Map.entry("lose-answers", new AnswerFault(EndpointFaults.Fate.ANSWER_LOST)),
            Map.entry("spoil-answers", new AnswerFault(EndpointFaults.Fate.ANSWER_SPOILT)),
            Map.entry("reset-requests", new AnswerFault(EndpointFaults.Fate.RESET)),
            Map.entry("deploy-nodes", new StopNodesFault(true)),
            Map.entry("kill-nodes", new StopNodesFault(false)),
            Map.entry("roll-nodes", new RollingRestartFault()),
            Map.entry("signal-nodes", new SignalSeriesFault()),
            Map.entry("hot-restart-nodes", new HotRestartFault()),
            Map.entry("hold-up-nodes", new StallNodesFault()),
            Map.entry("node-clocks", new NodeClockFault()),
            Map.entry("reload", new ReloadFault()),
            Map.entry("dark-list", new DiscoveryOutageFault()),
            Map.entry("late-list", new DiscoveryDelayFault()),
            Map.entry("clocks-ahead", new EndpointClockFault(true)),
            Map.entry("clocks-behind", new EndpointClockFault(false)),
            Map.entry("burst", new ClientBurstFault()),
            Map.entry("impatient", new ImpatientClientsFault()),
            Map.entry("early-clients", new EarlyLeaveFault()),
            Map.entry("shift", new TrafficShiftFault()),
            Map.entry("lose-zone", new ZoneLossFault()),
            Map.entry("partition", new PartitionFault()));

    private FaultKinds() {}

    /** The kind of a fault; one that an emulated world cannot have fails with an IllegalArgumentException when planned. */
    static FaultKind of(FaultSettings trouble) {
        return BY_NAME.getOrDefault(trouble.kind(), NONE);
    }
}
