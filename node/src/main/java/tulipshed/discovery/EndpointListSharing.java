package tulipshed.discovery;

import java.util.Optional;
import org.jboss.logging.Logger;
import tulipshed.config.MalformedInputException;
import tulipshed.logging.NodeLog;
import tulipshed.transport.HotRestartState;

/**
 * Shares the endpoint list between the two processes of a hot restart, in both directions. What discovery has told one
 * process binds the node, so the other process must respect it too, even if it cannot reach discovery itself. Confined to
 * the event-loop thread.
 */
public final class EndpointListSharing {
    private final HotRestartState hotRestart;
    private final EndpointWatch watch;
    private final Logger log;

    /** Revision of the list that was published to the other process; 0 for none. */
    private long publishedRevision;

    private boolean isPeerListKnown;

    /** Creates a sharing of the list of {@code watch} that starts with the first call of a method. */
    public EndpointListSharing(HotRestartState hotRestart, EndpointWatch watch, NodeLog log) {
        this.hotRestart = hotRestart;
        this.watch = watch;
        this.log = log.logger(EndpointWatch.LOG_SUBJECT);
    }

    /**
     * Uses the list of the other process if it is newer than the one of this process, and publishes the list of this process
     * while there is another one.
     */
    public void synchronize() {
        adoptPeerList();
        if (hotRestart.hasPeer()) {
            publishIfChanged();
        } else if (publishedRevision != 0) {
            hotRestart.withdrawEndpointList();
            publishedRevision = 0;
        }
    }

    /** Uses the list of the other process if it is newer than the one of this process. */
    public void adoptPeerList() {
        Optional<byte[]> changed = hotRestart.changedPeerEndpointList();
        if (changed.isEmpty()) {
            return;
        }
        try {
            SharedEndpointList shared = SharedEndpointListFormat.read(changed.get());
            isPeerListKnown = true;
            if (watch.adopt(shared)) {
                log.info("endpoint list of the other process used, version "
                        + shared.list().version());
            }
        } catch (MalformedInputException e) {
            log.warn("endpoint list of the other process ignored: " + e.getMessage());
        }
    }

    /** Returns whether a list of the other process has been read. */
    public boolean isPeerListKnown() {
        return isPeerListKnown;
    }

    private void publishIfChanged() {
        long revision = watch.listRevision();
        if (revision != publishedRevision && hotRestart.publishEndpointList(watch.sharedListDocument())) {
            publishedRevision = revision;
        }
    }
}
