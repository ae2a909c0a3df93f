package tulipshed.cli;

import tulipshed.config.NodeConfig;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.operators.OperatorsFile;
import tulipshed.time.Clock;
import tulipshed.transport.HotRestartState;

/**
 * What a node is started with; none of it is null.
 *
 * @param config the configuration at start; a reload does not change this record
 * @param operators the operators' file at start; the QUIC frontend is off unless the file configures it
 * @param limits bounds and intervals
 * @param hotRestart the state shared with the other process of this node during a hot restart
 * @param clock the time source of all components
 * @param log where the components log
 */
record NodeOptions(
        NodeConfig config,
        OperatorsFile operators,
        Limits limits,
        HotRestartState hotRestart,
        Clock clock,
        NodeLog log) {

    /** Returns the options of a node that never has a second process beside it. */
    static NodeOptions withoutHotRestart(
            NodeConfig config, OperatorsFile operators, Limits limits, Clock clock, NodeLog log) {
        return new NodeOptions(config, operators, limits, new HotRestartState(), clock, log);
    }
}
