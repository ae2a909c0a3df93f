package tulipshed.cli;

import java.util.function.Function;
import java.util.function.Supplier;
import tulipshed.config.MalformedInputException;
import tulipshed.config.NodeConfig;
import tulipshed.operators.OperatorsFile;

/**
 * Has a running node read its configuration again, once for each time that it is asked to. The whole is read and
 * checked before the node hears of it.
 */
final class ConfigurationReloader {
    private final Supplier<NodeConfig> source;
    private final Function<NodeConfig, OperatorsFile> operators;
    private Node node;
    private boolean early;

    /** The operators' file is read against the settings that come with it: both are taken, or neither. */
    ConfigurationReloader(Supplier<NodeConfig> source, Function<NodeConfig, OperatorsFile> operators) {
        this.source = source;
        this.operators = operators;
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
            NodeConfig config = source.get();
            node.reload(config, operators.apply(config));
        } catch (OutOfMemoryError e) {
            // Bounds keep it from coming so far; the node's own state has not been touched.
            node.rejectConfiguration("no memory left to read it");
        } catch (MalformedInputException e) {
            node.rejectConfiguration(e.getMessage());
        }
    }
}
