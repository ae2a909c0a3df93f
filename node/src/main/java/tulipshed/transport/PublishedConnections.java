package tulipshed.transport;

import java.util.ArrayDeque;
import tulipshed.proxy.HotRestartPeer.EstablishedConnection;

/** Established connections that this process publishes in its slot. Confined to the event-loop thread. */
final class PublishedConnections {
    /** Returned instead of a record number if a connection cannot be published. */
    static final int NOT_PUBLISHED = -1;

    private final OwnHotRestartSlot own;
    private final ArrayDeque<Integer> freeRecords = new ArrayDeque<>();

    /** Creates an empty set; connections are written to {@code own}. */
    PublishedConnections(OwnHotRestartSlot own) {
        this.own = own;
    }

    /**
     * Publishes a connection; returns the number of its record, or {@link #NOT_PUBLISHED} if it does not fit or no
     * record is free.
     */
    int publish(EstablishedConnection connection) {
        int usedRecords = own.connectionCount();
        if (!HotRestartLayout.fits(connection) || (freeRecords.isEmpty() && usedRecords == own.capacity())) {
            return NOT_PUBLISHED;
        }
        int record = freeRecords.isEmpty() ? usedRecords : freeRecords.poll();
        own.putConnection(record, connection);
        if (record == usedRecords) {
            own.setConnectionCount(usedRecords + 1);
        }
        return record;
    }

    /** Removes the connection published in the record after it has ended. */
    void withdraw(int record) {
        own.clearConnection(record);
        freeRecords.add(record);
    }
}
