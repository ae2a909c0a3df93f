package tulipshed.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import tulipshed.config.NodeConfig;
import tulipshed.management.ManagementServer;
import tulipshed.operators.OperatorsFile;
import tulipshed.transport.XnioEventLoop;

/**
 * A running node, from {@link #start} to {@link #shutDown}. Safe for use by any thread: operations that change or read
 * confined state run on the node's event-loop thread.
 */
final class Node {
    private final NodeOptions options;
    private final NodeComponents components;
    private final ConfigurationReload configurationReload;
    private final XnioEventLoop loop;

    private Node(NodeOptions options, NodeComponents components) {
        this.options = options;
        this.components = components;
        configurationReload = new ConfigurationReload(options, components);
        loop = components.loop();
    }

    /**
     * Starts a node and waits until it accepts clients.
     *
     * @throws IOException if the client address cannot be bound, or if the calling thread is interrupted
     * @throws tulipshed.config.MalformedInputException if another address cannot be bound
     */
    static Node start(NodeOptions options) throws IOException {
        return new Node(options, NodeStartup.start(options));
    }

    /** Returns the address that line-protocol clients connect to. */
    InetSocketAddress address() {
        return components.clientListener().address();
    }

    /** Returns the address of the management server; empty if the configuration does not enable it. */
    Optional<InetSocketAddress> managementAddress() {
        return components.management().map(ManagementServer::address);
    }

    /** Returns the number of endpoints listed as serving, after all events queued before this call are processed. */
    long servingEndpointCount() {
        CompletableFuture<Long> count = new CompletableFuture<>();
        loop.execute(() -> count.complete(components.core().servingEndpoints()));
        return count.join();
    }

    /** Returns whether the node has begun to shut down. */
    boolean isShuttingDown() {
        return components.clientListener().isDraining();
    }

    /** Applies the parts of a new configuration that a running node can change, asynchronously and in one step. */
    void reload(NodeConfig changed, OperatorsFile operators) {
        boolean needsRestart = configurationReload.needsRestart(changed);
        loop.execute(() -> configurationReload.apply(changed, operators, needsRestart));
    }

    /**
     * Counts and logs a new configuration that is unreadable or invalid; the current configuration is kept.
     *
     * @param reason the error message
     */
    void rejectConfiguration(String reason) {
        loop.execute(() -> configurationReload.reject(reason));
    }

    /** Shuts down gracefully and blocks until done; see {@link GracefulShutdown}. Must be called only once. */
    void shutDown() {
        double startMs = options.clock().nowMs();
        GracefulShutdown shutdown = new GracefulShutdown(options, components, configurationReload, startMs);
        loop.execute(shutdown::begin);
        shutdown.awaitCompletion();
        // On exit the virtual machine waits 300 ms for threads in system calls, such as those of the loop, and keeps
        // all sockets open meanwhile.
        loop.stop();
    }
}
