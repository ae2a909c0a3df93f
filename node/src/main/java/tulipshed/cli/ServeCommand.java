package tulipshed.cli;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
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

/** {@code serve}: runs one node until SIGTERM. */
public final class ServeCommand implements Command {
    /**
     * The variable that names the directory of the state shared with the hot-restart peer; unset disables hot restart.
     */
    private static final String SHARED_STATE_DIRECTORY_VARIABLE = "TMPDIR";

    /** The variable with the maximum number of lines of level TRACE that the process logs; unset disables them. */
    private static final String TRACE_LINES_VARIABLE = "PROXY_TRACE_LINES";

    @Option(
            name = "--operators",
            metaVar = "FILE",
            usage = "the operators' file: rules, pools, routes, the QUIC frontend")
    private File operators;

    @Override
    public String description() {
        return "runs one node with the configuration file that PROXY_CONFIG names, until the process is stopped";
    }

    @Override
    public int run() {
        Map<String, String> environment = System.getenv();
        SystemClock clock = new SystemClock();
        NodeLog nodeLog = createLog(environment.get(TRACE_LINES_VARIABLE), clock);
        Logger log = nodeLog.logger("node");
        NodeConfig config = NodeConfig.load(environment);
        OperatorsFile operatorsFile = readOperatorsFile(config);
        ConfigurationReloader reloader =
                new ConfigurationReloader(() -> NodeConfig.load(environment), this::readOperatorsFile);
        reloadAtHangup(reloader, log);
        Limits limits = Limits.forDescriptors(config.sockets());
        try {
            HotRestartState hotRestart =
                    joinHotRestart(config, environment.get(SHARED_STATE_DIRECTORY_VARIABLE), limits, nodeLog);
            Node node = Node.start(new NodeOptions(config, operatorsFile, limits, hotRestart, clock, nodeLog));
            reloader.nodeStarted(node);
            Runtime.getRuntime().addShutdownHook(new Thread(node::shutDown, "shutdown"));
            return KEEPS_RUNNING;
        } catch (IOException e) {
            if (e instanceof BindException || e.getCause() instanceof BindException) {
                throw new MalformedInputException("cannot listen on " + config.listen() + ": " + e.getMessage());
            }
            System.err.println("tulipshed: cannot start: " + e.getMessage());
            return ExitCode.FAILURE;
        }
    }

    private static NodeLog createLog(String maxTraceLines, SystemClock clock) {
        if (maxTraceLines == null || maxTraceLines.isEmpty()) {
            return NodeLog.to(System.out::println);
        }
        try {
            return NodeLog.tracingTo(System.out::println, clock::nowMs, Integer.parseUnsignedInt(maxTraceLines));
        } catch (NumberFormatException e) {
            throw new MalformedInputException(
                    TRACE_LINES_VARIABLE + " is not a non-negative integer (number of lines)");
        }
    }

    private static void reloadAtHangup(ConfigurationReloader reloader, Logger log) {
        if (!HangupSignal.handle(reloader::reload)) {
            log.warn("SIGHUP is ignored by the parent process, the configuration cannot be reloaded;"
                    + " start with env --default-signal=HUP");
        }
    }

    private OperatorsFile readOperatorsFile(NodeConfig config) {
        return operators == null ? OperatorsFile.EMPTY : OperatorsFile.load(operators.toPath(), config.nameIndex());
    }

    /** Opens the state shared with the hot-restart peer, in a file named after the listen address. */
    private static HotRestartState joinHotRestart(NodeConfig config, String directory, Limits limits, NodeLog log) {
        if (directory == null || directory.isEmpty()) {
            return new HotRestartState();
        }
        try {
            return new HotRestartState(
                    Path.of(directory, sharedStateFileName(config.listen())),
                    limits.shutdown().maxSharedIds(),
                    log);
        } catch (IllegalStateException e) {
            throw new MalformedInputException(e.getMessage());
        }
    }

    private static String sharedStateFileName(InetSocketAddress listen) {
        String address = listen.getAddress().getHostAddress() + "-" + listen.getPort();
        return "tulipshed-" + address.replace(':', '.') + ".share";
    }
}
