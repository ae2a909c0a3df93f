package tulipshed.connectionid;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ServerIdGeneratorTest {
    private static final byte[] KEY = new byte[ServerIds.KEY];

    /** What servers write is what the node reads, for every layout that the draft allows; and ids never repeat. */
    @Property(tries = 300, seed = "81")
    void whatIsMadeIsReadAndNeverRepeats(
            @ForAll @IntRange(min = 1, max = 15) int serverBytes,
            @ForAll @IntRange(min = 4, max = 18) int nonceBytes,
            @ForAll @IntRange(min = 0, max = 7) int numberBytes,
            @ForAll @IntRange(max = 6) int configuration,
            @ForAll long seed) {
        int fits = Math.min(nonceBytes, 19 - serverBytes);
        if (fits < 4 || numberBytes == 1 || numberBytes >= fits) {
            return;
        }
        Random random = new Random(seed);
        byte[] server = new byte[serverBytes];
        random.nextBytes(server);
        ServerIds ids = new ServerIds(configuration, serverBytes, fits, numberBytes, KEY);
        ServerIdGenerator generator = new ServerIdGenerator(ids, server, random);
        Set<ConnectionId> made = new HashSet<>();
        Set<Long> numbers = new HashSet<>();
        for (int i = 0; i < 10; i++) {
            ServerIdGenerator.Connection connection = generator.connection();
            assertTrue(numbers.add(connection.number()));
            for (int j = 0; j < 20; j++) {
                ConnectionId id = connection.next();
                assertTrue(made.add(id), "an id twice");
                assertEquals(1 + serverBytes + fits, id.length());
                ServerIds.Lead lead = ids.read(id);
                assertEquals(java.util.HexFormat.of().formatHex(server), lead.server());
                assertEquals(numberBytes == 0 ? -1 : connection.number(), lead.connection());
            }
        }
        assertNull(new ServerIds((configuration + 1) % 7, serverBytes, fits, KEY)
                .read(made.iterator().next()));
    }

    /** Without a key observers could tell from the number which networks one client was in. */
    @Test
    void numbersAreHiddenOrRefused() {
        assertThrows(IllegalArgumentException.class, () -> new ServerIds(0, 3, 8, 4, null));
        assertThrows(IllegalArgumentException.class, () -> new ServerIds(0, 3, 8, 8, KEY));
        assertThrows(IllegalArgumentException.class, () -> new ServerIds(0, 3, 8, 1, KEY));
        assertThrows(
                IllegalArgumentException.class, () -> new ServerIdGenerator(new ServerIds(0, 3, 8, KEY), new byte[2]));
        assertThrows(IllegalArgumentException.class, () -> new ServerIds(0, 3, 8, KEY).id(new byte[3], new byte[4]));
        ServerIdGenerator.Connection connection =
                new ServerIdGenerator(new ServerIds(0, 3, 8, 4, KEY), new byte[3]).connection();
        byte[] a = connection.next().bytes();
        byte[] b = connection.next().bytes();
        int same = 0;
        for (int i = 1; i < a.length; i++) {
            same += a[i] == b[i] ? 1 : 0;
        }
        assertTrue(same < 5, "what two ids of one connection share must not show: " + same + " bytes");
    }

    @Test
    void aNumberIsGivenAgainOnlyAfterItsConnectionHasClosed() {
        ServerIdGenerator generator = new ServerIdGenerator(new ServerIds(0, 1, 4, 2, KEY), new byte[1], new Random(5));
        List<ServerIdGenerator.Connection> open = new ArrayList<>();
        for (int i = 0; i < 1 << 16; i++) {
            open.add(generator.connection());
        }
        assertThrows(IllegalStateException.class, generator::connection);
        open.get(77).close();
        assertEquals(open.get(77).number(), generator.connection().number());
        assertThrows(IllegalStateException.class, generator::connection);
        for (int i = 0; i < 1 << 16; i++) {
            open.get(0).next();
        }
        assertThrows(IllegalStateException.class, open.get(0)::next);
    }

    /** Clients choose their first ids, and could choose many of one hash: a table is only safe where ids have an order. */
    @Test
    void idsOfOneHashAreStillToldApartInOrder() {
        ConnectionId a = new ConnectionId(new byte[] {0, 31, 0, 0, 0, 0, 0, 0});
        ConnectionId b = new ConnectionId(new byte[] {1, 0, 0, 0, 0, 0, 0, 0});
        assertEquals(a.hashCode(), b.hashCode());
        assertNotEquals(a, b);
        assertTrue(a.compareTo(b) < 0 && b.compareTo(a) > 0);
        assertEquals(0, a.compareTo(new ConnectionId(a.bytes())));
        assertFalse(a.equals(null));
    }
}
