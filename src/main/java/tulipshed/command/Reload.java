package tulipshed.command;

import java.util.function.Supplier;
import tulipshed.config.MalformedInput;
import tulipshed.config.NodeConfig;

/**
 * Has a running node read its configuration again, once for each time that it is asked to. The whole is read and
 * checked before the node hears of it.
 */
final class Reload {
    private final Supplier<NodeConfig> source;
    private Node node;
    private boolean early;

    Reload(Supplier<NodeConfig> source) {
        this.source = source;
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
            node.turnedDown(e.getMessage());
        }
    }
}
