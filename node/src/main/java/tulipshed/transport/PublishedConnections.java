package tulipshed.transport;

import java.util.ArrayDeque;
import tulipshed.proxy.HotRestartPeer.EstablishedConnection;

/** The established connections that this process publishes in its slot. Confined to the event-loop thread. */
final class PublishedConnections {
    /** In place of the number of a record, where a connection cannot be published. */
    static final int NOT_PUBLISHED = -1;

    private final OwnHotRestartSlot own;
    private final ArrayDeque<Integer> freeRecords = new ArrayDeque<>();

    /** No connections published; those to come are written to {@code own}. */
    PublishedConnections(OwnHotRestartSlot own) {
        this.own = own;
    }

    /** Publishes a connection; the number of its record, or {@link #NOT_PUBLISHED} where there is no room for it. */
    int publish(EstablishedConnection connection) {
        int used = own.connectionCount();
        if (!HotRestartLayout.fits(connection) || (freeRecords.isEmpty() && used == own.capacity())) {
            return NOT_PUBLISHED;
        }
        int record = freeRecords.isEmpty() ? used : freeRecords.poll();
        own.putConnection(record, connection);
        if (record == used) {
            own.setConnectionCount(used + 1);
        }
        return record;
    }

    /** The connection published in that record has ended. */
    void withdraw(int record) {
        own.clearConnection(record);
        freeRecords.add(record);
    }
}
