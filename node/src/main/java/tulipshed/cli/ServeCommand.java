package tulipshed.cli;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.kohsuke.args4j.Option;
import sun.misc.Signal;
import sun.misc.SignalHandler;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NodeConfig;
import tulipshed.limits.Limits;
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
    public String about() {
        return "one real node, from the file that PROXY_CONFIG names, until it is told to stop";
    }

    @Override
    public int run() {
        Map<String, String> environment = System.getenv();
        NodeConfig config = NodeConfig.load(environment);
        OperatorsFile rules = operators(config);
        Reload reload = new Reload(() -> NodeConfig.load(environment), this::operators);
        // Without a handler of its own the virtual machine would exit on SIGHUP.
        if (Signal.handle(new Signal("HUP"), s -> reload.reload()) == SignalHandler.SIG_IGN) {
            // Whoever started it ignores the signal, as nohup does, and the virtual machine keeps to that.
            System.out.println(
                    "tulipshed: SIGHUP is ignored since before the start, no reload will be heard; start it by"
                            + " env --default-signal=HUP");
        }
        Limits limits = Limits.forDescriptors(config.sockets());
        try {
            HotRestartState siblings = siblings(config, environment.get("TMPDIR"), limits);
            Node node = new Node(config, rules, limits, siblings, new SystemClock(), System.out::println);
            reload.serves(node);
            Runtime.getRuntime().addShutdownHook(new Thread(node::leave, "leaving"));
            return STAYS;
        } catch (IOException e) {
            throw new MalformedInputException("cannot listen on " + config.listen() + ": " + e.getMessage());
        }
    }

    private OperatorsFile operators(NodeConfig config) {
        return operators == null ? OperatorsFile.EMPTY : OperatorsFile.load(operators.toPath(), config.nameIndex());
    }

    /** A node may run as two processes while one takes over; they meet in a file that its address names. */
    private static HotRestartState siblings(NodeConfig config, String folder, Limits limits) {
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
            System.out.println("tulipshed: no second process can take over, TMPDIR is of no use: " + e);
            return new HotRestartState();
        } catch (IllegalStateException e) {
            throw new MalformedInputException(e.getMessage());
        }
    }
}
