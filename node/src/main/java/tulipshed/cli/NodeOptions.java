package tulipshed.cli;

import tulipshed.config.NodeConfig;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.operators.OperatorsFile;
import tulipshed.time.Clock;
import tulipshed.transport.HotRestartState;

/**
 * The options with which a node is started; no component is null.
 *
 * @param config the configuration at startup; a reload does not change this record
 * @param operators the operators' file at startup; the QUIC frontend is disabled unless the file configures it
 * @param limits limits and intervals
 * @param hotRestart the state shared with the hot-restart peer
 * @param clock the time source of all components
 * @param log the log of all components
 */
record NodeOptions(
        NodeConfig config,
        OperatorsFile operators,
        Limits limits,
        HotRestartState hotRestart,
        Clock clock,
        NodeLog log) {

    /** Returns the options of a node that never has a hot-restart peer. */
    static NodeOptions withoutHotRestart(
            NodeConfig config, OperatorsFile operators, Limits limits, Clock clock, NodeLog log) {
        return new NodeOptions(config, operators, limits, new HotRestartState(), clock, log);
    }
}
