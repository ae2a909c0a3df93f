package tulipshed.quic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tulipshed.connectionid.ConnectionId;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.quic.StandIns.Client;
import tulipshed.quic.StandIns.Client.Heard;
import tulipshed.quic.StandIns.Server;

/** Clients that change their address, their id, or both, alone and all at once. */
class MigrationTest extends QuicFrontendFixture {
    private Server.Conn conn(Client client) {
        return servers.get(holder(client)).conns.get(client.server);
    }

    /** Without the server's number in its ids the node would take it for a second connection, and the module count two. */
    @Test
    void anIdAndAnAddressThatChangeTogetherAreTheSameConnection() throws IOException {
        numberedFront(2);
        try (Client client = new Client(front.address(), 1);
                Client other = new Client(front.address(), 2)) {
            assertEquals("served", open(client).what());
            assertEquals("served", open(other).what());
            Server.Conn conn = conn(client);
            Server server = servers.get(holder(client));
            for (int i = 0; i < 20; i++) {
                client.server = conn.ids.next();
                client.rebind();
                assertEquals(new Heard("number", i), number(client, i));
                assertEquals(new Heard("number", i), number(other, i));
            }
            assertEquals(2, (int) onLoop(front.context().table()::sessionCount));
            assertEquals(2, (int) onLoop(() -> core.metrics().activeRequests()), "the module counts each once");
            assertEquals(20, counted(QuicCounter.IDS_JOINED));
            assertEquals(0, counted(QuicCounter.RESUMED));
            assertTrue(
                    server.addresses.size() > 2, "the server sees that its client took another path, and can prove it");
        }
    }

    /** A probe must not turn the traffic of the path in use to an address that may not work. */
    @Test
    void aProbeOfASecondPathLeavesTheFirstAlone() throws IOException {
        numberedFront(1);
        try (Client client = new Client(front.address(), 3);
                Client second = new Client(front.address(), 3)) {
            assertEquals("served", open(client).what());
            Server.Conn conn = conn(client);
            assertEquals(new Heard("number", 1), number(client, 1));
            second.server = conn.ids.next();
            assertEquals(
                    new Heard("number", StandIns.PROBE), number(second, StandIns.PROBE), "answered where it came from");
            for (int i = 0; i < 10; i++) {
                servers.get(0).push(conn, i);
                assertEquals(new Heard("number", i), client.hear(), "what the server sends goes on to the path in use");
            }
            assertEquals(new Heard("number", 50), number(second, 50), "now it goes over");
            servers.get(0).push(conn, 51);
            assertEquals(new Heard("number", 51), second.hear());
            assertEquals(new Heard("number", 52), number(client, 52), "and may come back");
            assertEquals(1, (int) onLoop(front.context().table()::sessionCount));
            assertEquals(1, counted(QuicCounter.PATHS_OPENED));
            assertEquals(2, servers.get(0).addresses.size());
            // The path that says no more gives its place at the member back, and takes one again when it is needed.
            int places = 2;
            for (int i = 100; places > 1; i++) {
                assertEquals(new Heard("number", i), number(client, i));
                QuicSession session =
                        onLoop(() -> front.context().table().path(client.server).session());
                places = onLoop(session.paths()::flowCount);
            }
            assertEquals(new Heard("number", 9), number(second, 9));
        }
    }

    /** A client in ever new networks holds a bounded number of paths, and none of them is its last. */
    @Test
    void pathsAreBounded() throws IOException {
        numberedFront(1);
        try (Client client = new Client(front.address(), 4)) {
            assertEquals("served", open(client).what());
            Server.Conn conn = conn(client);
            List<Client> others = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                Client other = new Client(front.address(), 4);
                others.add(other);
                other.server = conn.ids.next();
                assertEquals(new Heard("number", i), number(other, i));
            }
            QuicSession session = onLoop(
                    () -> front.context().table().path(others.get(19).server).session());
            assertTrue(onLoop(session.paths()::flowCount) <= 4);
            assertTrue(
                    onLoop(front.context().table()::addressAndNumberCount) <= 4 + 1,
                    "addresses of four paths, and the server's number");
            assertEquals(new Heard("number", 77), number(client, 77), "the first comes back under its old id");
            assertEquals(1, (int) onLoop(front.context().table()::sessionCount));
            others.forEach(Client::close);
        }
    }

    /** The server's preferred address (RFC 9000 section 9.6) is a second listener of the node. */
    @Test
    void aClientGoesOverToThePreferredAddress() throws IOException {
        numberedFront(2);
        try (Client client = new Client(front.address(), 5)) {
            assertEquals("served", open(client).what());
            Server.Conn conn = conn(client);
            ConnectionId first = client.server;
            client.server = conn.ids.next();
            client.node = front.preferredAddress();
            assertEquals(new Heard("number", StandIns.PROBE + 1), number(client, StandIns.PROBE + 1));
            servers.get(holderOf(conn)).push(conn, 8);
            assertEquals(front.address(), heardFrom(client, 8), "until it has gone over, the first listener goes on");
            assertEquals(new Heard("number", 9), number(client, 9));
            servers.get(holderOf(conn)).push(conn, 10);
            assertEquals(front.preferredAddress(), heardFrom(client, 10));
            client.server = first;
            client.node = front.address();
            assertEquals(new Heard("number", 11), number(client, 11));
            assertEquals(1, (int) onLoop(front.context().table()::sessionCount));
        }
    }

    private int holderOf(Server.Conn conn) {
        return servers.get(0).conns.containsValue(conn) ? 0 : 1;
    }

    private static java.net.SocketAddress heardFrom(Client client, int number) throws IOException {
        assertEquals(new Heard("number", number), client.hear());
        return client.from;
    }

    /** Two connections of one client socket, at one server: an address tells nothing there, a number does. */
    @Test
    void connectionsOfOneSocketAreToldApart() throws IOException {
        numberedFront(1);
        try (Client one = new Client(front.address(), 6);
                Client two = new Client(front.address(), 7)) {
            two.socket.close();
            two.socket = one.socket;
            assertEquals("served", open(one).what());
            assertEquals("served", open(two).what());
            Server.Conn a = conn(one);
            Server.Conn b = conn(two);
            one.server = a.ids.next();
            two.server = b.ids.next();
            assertEquals(new Heard("number", 1), number(one, 1));
            assertEquals(new Heard("number", 2), number(two, 2));
            assertEquals(2, (int) onLoop(front.context().table()::sessionCount));
            assertNotEquals(a.active, b.active, "each has a path of its own at the server");
        }
    }

    /** An id that no configuration makes, or that is marked to carry no server, is known by its address (QUIC-LB section 4.2). */
    @Test
    void anIdThatLeadsNowhereIsKnownByItsAddress() throws IOException {
        numberedFront(1);
        try (Client client = new Client(front.address(), 8);
                Client stranger = new Client(front.address(), 9)) {
            assertEquals("served", open(client).what());
            Server.Conn conn = conn(client);
            ConnectionId unroutable = new ConnectionId(new byte[] {(byte) 0xE7, 1, 2, 3, 4, 5, 6, 7});
            servers.get(0).conns.put(unroutable, conn);
            client.server = unroutable;
            stranger.server = unroutable;
            assertEquals(new Heard("number", 4), number(client, 4));
            stranger.sendNumber(5);
            taken(3);
            assertEquals(1, counted(QuicCounter.DROPPED_UNKNOWN_ID), "from elsewhere it leads nowhere");
            assertEquals(List.of(4), servers.get(0).numbers);
            assertEquals(0, counted(QuicCounter.IDS_JOINED), "and it is not learnt, so it holds nothing");
        }
    }

    /** The front layer hands a client to another node in mid-connection, and back: ids alone lead it on. */
    @Test
    void anotherNodeCarriesOnById() throws IOException {
        numberedFront(3);
        Node second = node();
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            Client client = new Client(front.address(), 100 + i);
            clients.add(client);
            assertEquals("served", open(client).what());
        }
        for (int round = 0; round < 4; round++) {
            for (Client client : clients) {
                client.node = round % 2 == 0 ? second.front().address() : front.address();
                if (round > 1) {
                    client.server = firstConn(client).ids.next();
                }
                assertEquals(new Heard("number", round), number(client, round));
            }
        }
        assertEquals(12, (int) onLoop(front.context().table()::sessionCount));
        assertEquals(12, (int) onLoop(second.loop(), second.front().context().table()::sessionCount));
        assertEquals(
                12, (int) onLoop(second.loop(), () -> second.core().metrics().activeRequests()));
        // A node that has just started knows no id at all.
        Node fresh = node();
        for (Client client : clients) {
            client.node = fresh.front().address();
            assertEquals(new Heard("number", 9), number(client, 9));
        }
        assertEquals(12, (int) onLoop(fresh.loop(), fresh.front().context().table()::sessionCount));
        clients.forEach(Client::close);
    }

    private Server.Conn firstConn(Client client) {
        return servers.stream()
                .flatMap(s -> s.conns.values().stream())
                .filter(c -> c.clientId.equals(client.own))
                .findFirst()
                .orElseThrow();
    }

    /** All clients get other addresses at one moment, as when a translator of addresses restarts; again and again. */
    @Test
    void aStormOfRebindsLosesNothing() throws IOException {
        maxConnections = 400;
        numberedFront(4);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            // Half of them have no id of their own, as many clients have none.
            Client client =
                    new Client(front.address(), 1000 + i, i % 2 == 0 ? new byte[0] : new byte[] {7, (byte) i, 0, 0});
            clients.add(client);
            assertEquals("served", open(client).what());
        }
        for (int round = 0; round < 10; round++) {
            for (Client client : clients) {
                client.rebind();
            }
            for (int from = 0; from < clients.size(); from += 40) {
                for (Client client : clients.subList(from, from + 40)) {
                    client.sendNumber(round);
                }
                for (Client client : clients.subList(from, from + 40)) {
                    assertEquals(new Heard("number", round), client.hear());
                }
            }
        }
        assertTrue(counted(QuicCounter.REBINDS) > 1900, "a client may be given its old port again");
        assertEquals(200, (int) onLoop(front.context().table()::sessionCount));
        int fullest = servers.stream().mapToInt(s -> s.conns.size()).max().orElseThrow();
        assertEquals(
                fullest,
                (int) onLoop(front.context().sockets()::count),
                "a socket for each connection of the fullest server, no more");
        clients.forEach(Client::close);
    }

    /** No datagram reaches a drained server once the rule's time is over, whatever address and id it comes with. */
    @Test
    void thousandsOfRebindsReachNoDrainedServer() throws IOException {
        maxConnections = 400;
        numberedFront(2);
        List<Client> clients = new ArrayList<>();
        List<Server.Conn> conns = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Client client = new Client(front.address(), 3000 + i);
            assertEquals("served", open(client).what());
            if (holder(client) == 0) {
                clients.add(client);
                conns.add(conn(client));
            } else {
                client.close();
            }
        }
        assertTrue(clients.size() >= 10, "enough of them stand at the first server");
        Server drained = servers.get(0);
        drained.drainedNs = System.nanoTime();
        notifyStatus(0, EndpointStatus.DRAINING);
        int words = 0;
        int rebinds = 0;
        for (int round = 0; round < 100; round++) {
            for (int i = 0; i < clients.size(); i++) {
                Client client = clients.get(i);
                client.rebind();
                rebinds++;
                client.server = round % 3 == 1 ? conns.get(i).ids.next() : client.server;
                client.sendNumber(round);
                // One that has said nothing past its first packets still reads a close.
                String what = client.hear().what();
                words += what.equals("reset") || (round == 0 && what.equals("closed")) ? 1 : 0;
            }
        }
        assertTrue(rebinds >= 1000);
        assertEquals(rebinds, words, "every one of them hears at once that it must come again");
        assertTrue(
                drained.latestNs < 300_000_000L,
                "the last datagram came " + drained.latestNs / 1e6 + " ms after the news");
        clients.forEach(Client::close);
    }
}
