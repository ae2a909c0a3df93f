package tulipshed.cli;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.jboss.logging.Logger;
import org.kohsuke.args4j.Option;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NodeConfig;
import tulipshed.limits.Limits;
import tulipshed.logging.NodeLog;
import tulipshed.operators.OperatorsFile;
import tulipshed.time.SystemClock;
import tulipshed.transport.HotRestartState;

/** One real node, until it is told to stop. */
public final class ServeCommand implements Command {
    @Option(
            name = "--operators",
            metaVar = "FILE",
            usage = "the operators' file: rules, pools, routes, the second front")
    private File operators;

    @Override
    public String description() {
        return "one real node, from the file that PROXY_CONFIG names, until it is told to stop";
    }

    @Override
    public int run() {
        NodeLog nodeLog = NodeLog.to(System.out::println);
        Logger log = nodeLog.logger("node");
        Map<String, String> environment = System.getenv();
        NodeConfig config = NodeConfig.load(environment);
        OperatorsFile rules = operators(config);
        ConfigurationReloader reload = new ConfigurationReloader(() -> NodeConfig.load(environment), this::operators);
        if (!HangupSignal.handle(reload::reload)) {
            log.warn("SIGHUP is ignored by the parent process, the configuration cannot be reloaded;"
                    + " start with env --default-signal=HUP");
        }
        Limits limits = Limits.forDescriptors(config.sockets());
        try {
            HotRestartState hotRestartState = hotRestartState(config, environment.get("TMPDIR"), limits, log);
            Node node = new Node(config, rules, limits, hotRestartState, new SystemClock(), nodeLog);
            reload.serves(node);
            Runtime.getRuntime().addShutdownHook(new Thread(node::shutDown, "leaving"));
            return KEEPS_RUNNING;
        } catch (IOException e) {
            throw new MalformedInputException("cannot listen on " + config.listen() + ": " + e.getMessage());
        }
    }

    private OperatorsFile operators(NodeConfig config) {
        return operators == null ? OperatorsFile.EMPTY : OperatorsFile.load(operators.toPath(), config.nameIndex());
    }

    /** The state shared by the two processes of a hot restart, in a file that the listen address names. */
    private static HotRestartState hotRestartState(NodeConfig config, String folder, Limits limits, Logger log) {
        if (folder == null || folder.isEmpty()) {
            return new HotRestartState();
        }
        String address = config.listen().getAddress().getHostAddress() + "-"
                + config.listen().getPort();
        try {
            return new HotRestartState(
                    Path.of(folder, "tulipshed-" + address.replace(':', '.') + ".share"),
                    limits.shutdown().sharedIds());
        } catch (IOException e) {
            log.warn("hot restart unavailable, cannot use TMPDIR: " + e);
            return new HotRestartState();
        } catch (IllegalStateException e) {
            throw new MalformedInputException(e.getMessage());
        }
    }
}
