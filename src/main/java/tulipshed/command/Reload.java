package tulipshed.command;

import java.util.function.Consumer;
import java.util.function.Supplier;
import tulipshed.config.MalformedInput;
import tulipshed.config.NodeConfig;

/**
 * Has a running node read its configuration again, once for each time that it is asked to. What it cannot read is
 * told in one line, and the node goes on as it is.
 */
final class Reload {
    private final Supplier<NodeConfig> source;
    private final Consumer<String> log;
    private Node node;
    private boolean early;

    Reload(Supplier<NodeConfig> source, Consumer<String> log) {
        this.source = source;
        this.log = log;
    }

    /** The node serves; a reload that was asked for before is made up for. */
    synchronized void serves(Node started) {
        node = started;
        if (early) {
            reload();
        }
    }

    /** Callers come on threads of their own; one at a time, so that the file read last is the one that holds. */
    synchronized void reload() {
        if (node == null) {
            early = true;
            return;
        }
        try {
            node.reload(source.get());
        } catch (MalformedInput e) {
            log.accept("tulipshed: reload, the old settings stay: " + e.getMessage().replaceAll("\\s+", " "));
        }
    }
}
