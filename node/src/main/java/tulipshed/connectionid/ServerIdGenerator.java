package tulipshed.connectionid;

import java.security.SecureRandom;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Generates the connection IDs of one server. The IDs of one connection are unique. Where the configuration numbers connections
 * the IDs of all open connections are unique too: a nonce is then the connection number and a counter, which encryption hides.
 * Otherwise nonces are random, as a counter in plaintext would let observers link the IDs of a connection (RFC 9000 section
 * 9.5).
 *
 * <p>Safe for use by several threads.
 */
public final class ServerIdGenerator {
    private final ServerIds ids;
    private final byte[] server;
    private final RandomGenerator random;
    private final Set<Long> openNumbers = new HashSet<>();
    private final long numberCount;
    private long nextNumber;

    /**
     * A generator for one server.
     *
     * @param server the server ID
     * @throws IllegalArgumentException if the configuration's server IDs have another length
     */
    public ServerIdGenerator(ServerIds ids, byte[] server) {
        this(ids, server, new SecureRandom());
    }

    /** The same with another source of random numbers, which must be as unpredictable as {@link SecureRandom}; for tests. */
    ServerIdGenerator(ServerIds ids, byte[] server, RandomGenerator random) {
        if (server.length != ids.serverBytes()) {
            throw new IllegalArgumentException("a server id of " + server.length + " bytes, not " + ids.serverBytes());
        }
        this.ids = ids;
        this.server = server.clone();
        this.random = random;
        numberCount = ids.numberBytes() == 0 ? Long.MAX_VALUE : 1L << (8 * ids.numberBytes());
        // A restarted server does not begin with numbers that its clients may still use.
        nextNumber = random.nextLong(numberCount);
    }

    /**
     * Opens a connection, whose number no other one gets until it is closed.
     *
     * @throws IllegalStateException if all numbers of the configuration are in use
     */
    public synchronized Connection connection() {
        if (openNumbers.size() >= numberCount) {
            throw new IllegalStateException("all " + numberCount + " numbers of connections are in use");
        }
        while (!openNumbers.add(nextNumber)) {
            nextNumber = (nextNumber + 1) % numberCount;
        }
        long number = nextNumber;
        nextNumber = (nextNumber + 1) % numberCount;
        return new Connection(number);
    }

    private synchronized void releaseNumber(long number) {
        openNumbers.remove(number);
    }

    /** The connection IDs of one connection. */
    public final class Connection implements AutoCloseable {
        private final long number;
        private final int sequenceBytes = ids.nonceBytes() - ids.numberBytes();
        private final Set<ConnectionId> generated = new HashSet<>();
        private int count;

        private Connection(long number) {
            this.number = number;
        }

        /** The server's number of this connection, which all of its IDs carry where the configuration has numbers. */
        public long number() {
            return number;
        }

        /**
         * Generates the next connection ID.
         *
         * @throws IllegalStateException if all connection IDs of this connection have been generated
         */
        public synchronized ConnectionId next() {
            if (ids.numberBytes() == 0) {
                ConnectionId id;
                do {
                    byte[] nonce = new byte[ids.nonceBytes()];
                    random.nextBytes(nonce);
                    id = ids.id(server, nonce);
                } while (!generated.add(id));
                return id;
            }
            if (sequenceBytes < 4 && count >= 1 << (8 * sequenceBytes)) {
                throw new IllegalStateException("all " + count + " ids of this connection have been made");
            }
            byte[] nonce = new byte[ids.nonceBytes()];
            put(nonce, 0, ids.numberBytes(), number);
            put(nonce, ids.numberBytes(), sequenceBytes, count++);
            return ids.id(server, nonce);
        }

        /** Releases the number for other connections; call it once no packet of this connection is expected any more. */
        @Override
        public void close() {
            releaseNumber(number);
        }
    }

    private static void put(byte[] into, int at, int bytes, long value) {
        for (int i = 0; i < bytes; i++) {
            int shift = 8 * (bytes - 1 - i);
            into[at + i] = shift < Long.SIZE ? (byte) (value >>> shift) : 0;
        }
    }
}
