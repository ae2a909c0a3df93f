package tulipshed.quic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import tulipshed.connectionid.ConnectionId;
import tulipshed.decision.api.Outcome;
import tulipshed.quic.StandIns.Client;
import tulipshed.quic.StandIns.Client.Heard;
import tulipshed.quic.StandIns.Server;
import tulipshed.quic.StandIns.Server.Manner;

/** How connections end: servers that lose their state, places that are used again, floods, and what the kernel drops. */
class EndsTest extends QuicFrontendFixture {
    /** Without telling the server's resets from packets the module would count its connections until they are idle. */
    @Test
    void aServerThatHasLostItsStateEndsItsConnectionsAtOnce() throws IOException {
        numberedFront(1);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            clients.add(new Client(front.address(), 1 + i));
            assertEquals("served", open(clients.get(i)).what());
            assertEquals(new Heard("number", 5), number(clients.get(i), 5));
        }
        assertEquals(10, (int) onLoop(() -> core.metrics().activeRequests()));
        servers.get(0).conns.clear();
        for (Client client : clients) {
            assertEquals("reset", number(client, 6).what());
        }
        assertEquals(0, (int) onLoop(() -> core.metrics().activeRequests()));
        assertEquals(10, counted(QuicCounter.RESETS_FORWARDED));
        int heard = servers.get(0).numbers.size();
        for (Client client : clients) {
            assertEquals("reset", number(client, 7).what(), "what it still sends is answered by the node");
        }
        assertEquals(heard, servers.get(0).numbers.size(), "and does not reach the server");
        assertEquals("served", open(new Client(front.address(), 50)).what());
        clients.forEach(Client::close);
    }

    /** Anyone may send what looks like a reset; only one with the token of an id of the connection is. */
    @Test
    void whatMerelyLooksLikeAResetEndsNothing() throws IOException {
        numberedFront(1);
        try (Client client = new Client(front.address(), 1);
                DatagramSocket stranger = new DatagramSocket()) {
            assertEquals("served", open(client).what());
            Server.Conn conn = servers.get(0).conns.get(client.server);
            Random random = new Random(1);
            for (int i = 0; i < 50; i++) {
                byte[] fake = i % 2 == 0
                        ? StandIns.RESET.datagram(new ConnectionId(new byte[] {1, (byte) i}), 60, random)
                        : Arrays.copyOf(StandIns.RESET.datagram(client.server, 60, random), 42);
                fake[1] = client.own.bytes()[0];
                servers.get(0).socket.send(new DatagramPacket(fake, fake.length, conn.active));
                client.hear();
                byte[] reset = StandIns.RESET.datagram(client.server, 60, random);
                stranger.send(new DatagramPacket(reset, reset.length, conn.active));
            }
            assertEquals(new Heard("number", 3), number(client, 3));
            assertEquals(0, counted(QuicCounter.RESETS_FORWARDED));
            assertEquals(
                    50,
                    counted(QuicCounter.DROPPED_UNKNOWN_SOURCE),
                    "what is not from a member is not read any further");
        }
    }

    /** A place is used by other clients later; what its member still sends to the first must not make the second stand. */
    @Test
    void whatIsLateForOneClientDoesNotServeAnother() throws IOException {
        socketReuseDelayMs = 0;
        deadlineMs = 4000;
        front(Manner.SERVES);
        try (Client first = new Client(front.address(), 1);
                Client second = new Client(front.address(), 2)) {
            assertEquals("served", open(first).what());
            Server.Conn old = servers.get(0).conns.get(first.server);
            first.send(InitialKeys.client(Version.V1, first.first)
                    .seal(first.first, first.own, 1, Arrays.copyOf(InitialFrames.close(0, "never mind"), 1180)));
            assertEquals("served", open(first).what());
            QuicSession session =
                    onLoop(() -> front.context().table().path(first.server).session());
            onLoop(() -> {
                core.attemptEnded(core.metrics().activeRequests() > 0 ? session.attempt() : null, Outcome.RESET);
                session.abandon(session.attempt());
                return null;
            });
            servers.get(0).manner = Manner.SILENT;
            second.send(second.initial());
            while (servers.get(0).conns.size() < 2) {
                Thread.onSpinWait();
            }
            assertEquals(1, (int) onLoop(front.context().sockets()::count), "it has the place of the first");
            for (int i = 0; i < 5; i++) {
                servers.get(0).push(old, i);
            }
            servers.get(0).manner = Manner.SERVES;
            second.send(second.initial());
            assertEquals("served", second.hear().what(), "its own answer, and nothing before it");
            assertEquals(new Heard("number", 9), number(second, 9));
        }
    }

    /** Before an address is proved it is sent three times what it sent, over all servers that were asked for it together. */
    @Test
    void anUnprovenAddressIsSentNoMoreThanThreeTimesWhatItSent() throws IOException {
        front(Manner.SERVES);
        try (Client client = new Client(front.address(), 1)) {
            byte[] initial = client.initial();
            client.send(initial);
            assertEquals("served", client.hear().what());
            Server.Conn conn = servers.get(0).conns.get(client.server);
            for (int i = 0; i < 40; i++) {
                byte[] big = Arrays.copyOf(StandIns.shortPacket(conn.clientId, i), 1400);
                servers.get(0).socket.send(new DatagramPacket(big, big.length, conn.active));
            }
            while (counted(QuicCounter.DROPPED_AMPLIFICATION) < 38) {
                Thread.onSpinWait();
            }
            assertEquals(new Heard("number", 0), client.hear());
            assertEquals(new Heard("number", 1), client.hear());
            client.sendNumber(100);
            assertEquals(new Heard("number", 100), client.hear(), "a packet to the server's id proves it");
            byte[] big = Arrays.copyOf(StandIns.shortPacket(conn.clientId, 101), 1400);
            for (int i = 0; i < 10; i++) {
                servers.get(0).socket.send(new DatagramPacket(big, big.length, conn.active));
                assertEquals(new Heard("number", 101), client.hear());
            }
        }
    }

    /** Datagrams of every size up to an Ethernet's go through as they are, also with the fixed bit clear (RFC 9287). */
    @Test
    void datagramsPassWhole() throws IOException {
        front(Manner.SERVES);
        try (Client client = new Client(front.address(), 1)) {
            assertEquals("served", open(client).what());
            for (int size = 40; size <= 1500; size += 73) {
                byte[] out = Arrays.copyOf(StandIns.shortPacket(client.server, size), size);
                out[0] &= size % 2 == 0 ? (byte) 0xBF : (byte) 0xFF;
                client.send(out);
                assertEquals(new Heard("number", size), client.hear());
                Server.Conn conn = servers.get(0).conns.get(client.server);
                byte[] back = Arrays.copyOf(StandIns.shortPacket(conn.clientId, size), size);
                servers.get(0).socket.send(new DatagramPacket(back, back.length, conn.active));
                client.hear();
                assertEquals(size, client.heardBytes);
            }
        }
    }

    /** Strangers wait while somebody known has something to say, though they came first; and only so many of them wait. */
    @SuppressWarnings("ReferenceEquality") // the very datagram that was queued
    @Test
    void whoIsKnownGoesBeforeStrangers() throws Exception {
        maxConnections = 1000;
        numberedFront(1);
        try (Client known = new Client(front.address(), 1);
                Client stranger = new Client(front.address(), 2)) {
            assertEquals("served", open(known).what());
            CountDownLatch begun = new CountDownLatch(1);
            CountDownLatch held = new CountDownLatch(1);
            loop.execute(() -> {
                begun.countDown();
                try {
                    held.await();
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            begun.await();
            for (int i = 0; i < 40; i++) {
                stranger.first = new ConnectionId(
                        ByteBuffer.allocate(8).putInt(i).putInt(5).array());
                stranger.send(stranger.initial());
            }
            known.sendNumber(7);
            held.countDown();
            assertEquals(new Heard("number", 7), known.hear());
            assertEquals(1, servers.get(0).initialsBefore, "its own");
            taken(42);
            while (counted(QuicCounter.OPENED_V1) < 41) {
                Thread.onSpinWait();
            }
        }
        UnknownDatagramQueue few = new UnknownDatagramQueue(2);
        UnknownDatagram[] d = {
            new UnknownDatagram(null, null, null, null, null), new UnknownDatagram(null, null, new byte[1], null, null)
        };
        assertTrue(few.offer(d[0]) && few.offer(d[1]) && !few.offer(d[0]));
        assertEquals(d[0], few.poll());
        assertTrue(few.offer(d[0]) && few.poll() == d[1] && few.poll() == d[0] && few.isEmpty());
    }

    /** Ids in the clear can be forged: what no member answers gives way, and nobody who stands does. */
    @Test
    void forgedIdsDoNotFillTheTable() throws IOException {
        maxUnconfirmedConnections = 10;
        maxConnections = 40;
        front(Manner.SERVES);
        try (Client client = new Client(front.address(), 1);
                Client forger = new Client(front.address(), 2)) {
            assertEquals("served", open(client).what());
            assertEquals(new Heard("number", 1), number(client, 1));
            servers.get(0).manner = Manner.SILENT;
            servers.get(0).conns.clear();
            servers.get(0).forgets = true;
            for (int i = 0; i < 200; i++) {
                forger.rebind();
                forger.server = StandIns.IDS.id(
                        servers.get(0).id, ByteBuffer.allocate(4).putInt(i).array());
                forger.sendNumber(i);
                taken(3 + i);
            }
            assertEquals(1 + 10, (int) onLoop(front.context().table()::sessionCount));
            assertTrue(counted(QuicCounter.UNCONFIRMED_EVICTED) >= 180, "a port may come twice");
            assertEquals(11, (int) onLoop(() -> core.metrics().activeRequests()));
            servers.get(0).manner = Manner.SERVES;
            try (Client late = new Client(front.address(), 3)) {
                assertEquals("served", open(late).what(), "there is room for honest ones");
            }
        }
    }

    /**
     * Ten times the table, in every shape that needs no keys, replayed hellos among them: what is held stays at its bounds, and
     * who stood before is answered all the while.
     */
    @Test
    void aFloodHoldsNothingAndDisturbsNobody() throws IOException {
        maxConnections = 60;
        numberedFront(3);
        List<Client> standing = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            standing.add(new Client(front.address(), 1 + i));
            assertEquals("served", open(standing.get(i)).what());
            assertEquals(new Heard("number", 0), number(standing.get(i), 0));
        }
        List<Client> flood = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            flood.add(new Client(front.address(), 500 + i));
        }
        Random random = new Random(7);
        byte[] replayed = standing.get(0).initial();
        for (int i = 0; i < 600; i++) {
            Client from = flood.get(i % flood.size());
            from.first = new ConnectionId(
                    ByteBuffer.allocate(8).putInt(random.nextInt()).putInt(i).array());
            byte[] noise = new byte[1 + random.nextInt(1500)];
            random.nextBytes(noise);
            from.send(from.initial());
            from.send(noise);
            from.send(StandIns.shortPacket(new ConnectionId(Arrays.copyOf(noise, 12)), i));
            from.send(replayed);
            if (i % 10 == 9) {
                Client client = standing.get(i / 10 % standing.size());
                Heard heard = number(client, i);
                // The kernel may drop under a flood; whoever gets no answer asks again.
                for (int again = 0; again < 3 && heard.what().equals("nothing"); again++) {
                    heard = number(client, i);
                }
                assertEquals(new Heard("number", i), heard);
            }
        }
        assertTrue(onLoop(front.context().table()::sessionCount) <= 60);
        assertTrue(onLoop(front.context().table()::idCount) <= 60 * 8);
        assertTrue(onLoop(front.context().table()::addressAndNumberCount) <= 60 * 2);
        assertTrue(onLoop(front.context().sockets()::count) <= 60);
        assertTrue(
                counted(QuicCounter.DROPPED_REPLAYED) > 300,
                "without this the first client's packets would go to the flood");
        assertTrue(
                counted(QuicCounter.DROPPED_UNKNOWN_ID) + counted(QuicCounter.DROPPED_MALFORMED) > 100,
                "of what names nobody");
        for (Client client : standing) {
            client.drain();
            assertEquals(new Heard("number", 1), number(client, 1));
        }
        flood.forEach(Client::close);
        standing.forEach(Client::close);
    }

    private static byte[] close(Client client) {
        return InitialKeys.client(Version.V1, client.first)
                .seal(client.first, client.own, 1, Arrays.copyOf(InitialFrames.close(0, "never mind"), 1180));
    }

    /** Sends what opens a connection and then its close, so that the loop has read only the former when it may forward. */
    private void openAndCloseInOneTurn(Client client) {
        onLoop(() -> {
            client.send(client.initial());
            long read = front.context().metrics().get(QuicCounter.DATAGRAMS);
            while (front.context().metrics().get(QuicCounter.DATAGRAMS) == read) {
                front.receiveAvailable();
            }
            client.send(close(client));
            return null;
        });
    }

    /** The client's own sign of an end may have arrived without being read when its attempt is due. */
    @Test
    void opensNoAttemptForAClientWhoseCloseHasArrived() throws IOException {
        front(Manner.SERVES);
        try (Client gone = new Client(front.address(), 1);
                Client stays = new Client(front.address(), 2)) {
            openAndCloseInOneTurn(gone);
            taken(2);
            assertEquals(0, (int) onLoop(() -> core.metrics().activeRequests()));
            assertEquals(0L, (long) onLoop(() -> core.metrics().forwardedAttempts()), "nothing of it was forwarded");
            assertEquals("served", open(stays).what());
            assertEquals(1, servers.get(0).initials.get(), "that of the other client");
        }
    }

    /** The same between two attempts: the first member refuses while the client closes. */
    @Test
    void opensNoRetryForAClientWhoseCloseHasArrived() throws IOException {
        front(Manner.SILENT, Manner.SILENT);
        try (Client client = new Client(front.address(), 1)) {
            client.send(client.initial());
            while (servers.get(0).initials.get() + servers.get(1).initials.get() == 0) {
                Thread.onSpinWait();
            }
            onLoop(() -> {
                client.send(close(client));
                // Its attempt fails in the turn in which the close is still unread.
                QuicSession session = front.context().table().path(client.first).session();
                core.attemptEnded(session.attempt(), Outcome.FULL);
                session.abandon(session.attempt());
                return null;
            });
            taken(2);
            assertEquals(0, (int) onLoop(() -> core.metrics().activeRequests()));
            assertEquals(1L, (long) onLoop(() -> core.metrics().forwardedAttempts()), "the first attempt only");
        }
    }
}
