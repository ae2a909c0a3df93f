package tulipshed.connectionid;

import java.security.SecureRandom;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Makes the connection ids of one server. Ids of one connection never repeat, and where the configuration numbers connections,
 * those of all open ones do not either: a nonce is then the number and a count, which the cipher hides. Otherwise nonces are
 * drawn at random, as counted ones in the clear would tell observers which ids belong together (RFC 9000 section 9.5).
 *
 * <p>Safe for use by several threads.
 */
public final class ServerIdGenerator {
    private final ServerIds ids;
    private final byte[] server;
    private final RandomGenerator random;
    private final Set<Long> open = new HashSet<>();
    private final long numbers;
    private long next;

    /**
     * A generator for that server.
     *
     * @param server its id, of as many bytes as the configuration says; {@link IllegalArgumentException} otherwise
     */
    public ServerIdGenerator(ServerIds ids, byte[] server) {
        this(ids, server, new SecureRandom());
    }

    /** The same with a given source of chance, which must be as hard to guess as {@link SecureRandom}; for tests. */
    ServerIdGenerator(ServerIds ids, byte[] server, RandomGenerator random) {
        if (server.length != ids.serverBytes()) {
            throw new IllegalArgumentException("a server id of " + server.length + " bytes, not " + ids.serverBytes());
        }
        this.ids = ids;
        this.server = server.clone();
        this.random = random;
        numbers = ids.numberBytes() == 0 ? Long.MAX_VALUE : 1L << (8 * ids.numberBytes());
        // A server that comes back does not begin with the numbers that its clients may still use.
        next = random.nextLong(numbers);
    }

    /**
     * Begins a connection; its number is its own until it is closed.
     *
     * @throws IllegalStateException where all numbers of the configuration are in use
     */
    public synchronized Connection connection() {
        if (open.size() >= numbers) {
            throw new IllegalStateException("all " + numbers + " numbers of connections are in use");
        }
        while (!open.add(next)) {
            next = (next + 1) % numbers;
        }
        long number = next;
        next = (next + 1) % numbers;
        return new Connection(number);
    }

    private synchronized void closed(long number) {
        open.remove(number);
    }

    /** The ids of one connection. */
    public final class Connection implements AutoCloseable {
        private final long number;
        private final int sequenceBytes = ids.nonceBytes() - ids.numberBytes();
        private final Set<ConnectionId> drawn = new HashSet<>();
        private int count;

        private Connection(long number) {
            this.number = number;
        }

        /** The server's number of this connection, which all of its ids carry where the configuration has numbers. */
        public long number() {
            return number;
        }

        /**
         * The next id.
         *
         * @throws IllegalStateException where all ids of this connection have been made
         */
        public synchronized ConnectionId next() {
            if (ids.numberBytes() == 0) {
                ConnectionId id;
                do {
                    byte[] nonce = new byte[ids.nonceBytes()];
                    random.nextBytes(nonce);
                    id = ids.id(server, nonce);
                } while (!drawn.add(id));
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

        /** Its number may be given to another connection; call it once no packet of this one is expected any more. */
        @Override
        public void close() {
            closed(number);
        }
    }

    private static void put(byte[] into, int at, int bytes, long value) {
        for (int i = 0; i < bytes; i++) {
            int shift = 8 * (bytes - 1 - i);
            into[at + i] = shift < Long.SIZE ? (byte) (value >>> shift) : 0;
        }
    }
}
