package tulipshed.command;

import java.io.IOException;
import java.util.Map;
import tulipshed.config.MalformedInput;
import tulipshed.config.NodeConfig;
import tulipshed.time.SystemClock;

/** One real node, until it is told to stop. */
public final class ServeCommand implements Command {
    @Override
    public int run() {
        Map<String, String> environment = System.getenv();
        NodeConfig config = NodeConfig.load(environment);
        try {
            Node node = new Node(config, new SystemClock(), System.out::println);
            Runtime.getRuntime().addShutdownHook(new Thread(node::leave, "leaving"));
            return STAYS;
        } catch (IOException e) {
            throw new MalformedInput("cannot listen on " + config.listen() + ": " + e.getMessage());
        }
    }
}
