package tulipshed.quic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import tulipshed.config.NodeConfig;
import tulipshed.connectionid.ConnectionId;
import tulipshed.connectionid.ServerIds;
import tulipshed.decision.api.EndpointStatus;
import tulipshed.quic.StandIns.Client;
import tulipshed.quic.StandIns.Client.Heard;
import tulipshed.quic.StandIns.Server;
import tulipshed.quic.StandIns.Server.Manner;
import tulipshed.time.WallTime;
import tulipshed.transport.UdpSocket;

/** The QUIC frontend with the real core and decision module between stand-in clients and servers on loopback. */
class QuicFrontendTest extends QuicFrontendFixture {
    @Test
    void aClientThatRebindsKeepsItsConnectionAndItsServerSeesOneAddress() throws IOException {
        front(Manner.SERVES);
        try (Client client = new Client(front.address(), 1)) {
            assertEquals("served", open(client).what());
            for (int i = 0; i < 40; i++) {
                if (i % 5 == 4) {
                    client.rebind();
                }
                client.sendNumber(i);
                assertEquals(new Heard("number", i), client.hear());
            }
        }
        assertEquals(1, servers.get(0).initials.get());
        assertEquals(1, servers.get(0).addresses.size());
    }

    @Test
    void aDrainMovesTheClientAndNoIdReachesTheServerAfterIt() throws IOException {
        front(Manner.SERVES, Manner.SERVES);
        try (Client client = new Client(front.address(), 2)) {
            assertEquals("served", open(client).what());
            client.sendNumber(1);
            assertEquals(new Heard("number", 1), client.hear());
            int held = servers.get(0).initials.get() == 1 ? 0 : 1;
            // In the middle of a booking: the client rebinds while its server begins to drain.
            notifyStatus(held, EndpointStatus.DRAINING);
            client.rebind();
            client.sendNumber(2);
            assertEquals("reset", client.hear().what());
            for (int i = 3; i < 30; i++) {
                client.rebind();
                client.sendNumber(i);
                assertEquals("reset", client.hear().what());
            }
            // An id that was never seen, but carries the draining server's: not there either.
            client.server = StandIns.IDS.id(servers.get(held).id, new byte[] {1, 2, 3, 4});
            client.sendNumber(99);
            assertEquals("reset", client.hear().what());
            assertEquals(List.of(1), servers.get(held).numbers);
            try (Client again = new Client(front.address(), 3)) {
                assertEquals("served", open(again).what());
                assertEquals(1, servers.get(1 - held).initials.get(), "the client comes again elsewhere");
            }
        }
    }

    /** The parts of a hello as clients with a post-quantum key share send it, last one first. */
    private static List<byte[]> spread(Client client, byte[] hello, int parts) {
        List<byte[]> datagrams = new ArrayList<>();
        int each = (hello.length + parts - 1) / parts;
        for (int i = parts - 1; i >= 0; i--) {
            byte[] part = Arrays.copyOfRange(hello, i * each, Math.min(hello.length, (i + 1) * each));
            datagrams.add(InitialKeys.client(client.version, client.first)
                    .seal(client.first, client.own, i, Arrays.copyOf(StandIns.crypto(i * each, part), 1160)));
        }
        return datagrams;
    }

    /** Without reassembly the first of these datagrams would be taken for all that the client says. */
    @Test
    void aHelloOverThreeDatagramsIsWaitedForAndItsNamesAreKnownToRules() throws IOException {
        front(Manner.SERVES, Manner.SERVES);
        var names = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"))
                .nameIndex();
        var rules = tulipshed.operators.OperatorsFile.read(
                "f",
                ("(pool second (where (= member.id \"s-2\")))"
                                + "(classify (rule r (when (and (suffix (default server-name \"\") \".booking.example\")"
                                + "(= (default alpn \"\") \"slots\") (= (default quic-version 0) 1798521807))) (class \"gate-status\")))"
                                + "(route r (when (= class \"gate-status\")) (to second))")
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8),
                names);
        onLoop(() -> {
            core.setRouter(rules.router());
            return null;
        });
        for (int i = 0; i < 4; i++) {
            try (Client client = new Client(front.address(), 40 + i)) {
                client.version = Version.V2;
                List<byte[]> parts = spread(client, StandIns.hello("Decin.Booking.Example", "slots", 2400), 3);
                client.send(parts.get(0));
                client.send(parts.get(1));
                client.send(parts.get(1));
                taken(4 * i + 3);
                assertEquals(1, (int) onLoop(front.context().admission()::pendingClientHellos));
                client.send(parts.get(2));
                assertEquals("served", client.hear().what());
                assertEquals(0, (int) onLoop(front.context().admission()::pendingClientHellos));
            }
        }
        assertEquals(0, servers.get(0).initials.get());
        long asGate = onLoop(() -> core.metrics().responses().get("gate-status").established());
        assertEquals(4, asGate);
    }

    @Test
    void aHelloThatIsNeverWholeIsAnsweredAtItsBoundAndNothingIsKept() throws IOException {
        idleMs = 300;
        front(Manner.SERVES);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Client client = new Client(front.address(), 60 + i);
            clients.add(client);
            client.send(spread(client, StandIns.hello("a.example", "slots", 2000), 2)
                    .get(0));
            if (i >= 4) {
                assertEquals(
                        new Heard("closed", InitialFrames.CONNECTION_REFUSED), client.hear(), "there is room for four");
            }
        }
        assertEquals(4, (int) onLoop(front.context().admission()::pendingClientHellos));
        for (Client client : clients.subList(0, 4)) {
            assertEquals(new Heard("closed", InitialFrames.CONNECTION_REFUSED), client.hear(), "after its time");
        }
        assertEquals(0, (int) onLoop(front.context().admission()::pendingClientHellos));
        try (Client client = new Client(front.address(), 70)) {
            client.send(spread(client, StandIns.hello("a.example", "slots", 2000), 2)
                    .get(0));
            byte[] other = StandIns.crypto(1100, new byte[] {1, 2, 3});
            client.send(InitialKeys.client(client.version, client.first)
                    .seal(client.first, client.own, 5, Arrays.copyOf(other, 1160)));
            assertEquals(new Heard("closed", InitialFrames.PROTOCOL_VIOLATION), client.hear(), "it says two things");
        }
        while (onLoop(front.context().table()::sessionCount) > 0) {
            Thread.onSpinWait();
        }
        assertEquals(0, servers.get(0).initials.get());
        for (Client client : clients) {
            client.close();
        }
    }

    /** Pressed, the node asks for proof of addresses and keeps nothing of who gives none. */
    @Test
    void aFloodFromChangingAddressesIsAskedForProofAndHoldsNothing() throws IOException {
        tokens = new RetryTokens(Map.of(7, new byte[16]), 7, 10_000, 0, () -> new WallTime(0));
        policy = new RetryPolicy(3, 0, 0);
        maxConnections = 50;
        front(Manner.SERVES);
        try (Client standing = new Client(front.address(), 100)) {
            assertEquals("served", open(standing).what());
            standing.sendNumber(1);
            assertEquals(new Heard("number", 1), standing.hear());
            List<Client> flood = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                Client c = new Client(front.address(), 1000 + i);
                flood.add(c);
                c.send(c.initial());
                assertEquals(i < 3 ? "served" : "RETRY", c.hear().what(), "number " + i);
            }
            assertEquals(4, (int) onLoop(front.context().table()::sessionCount), "57 that gave no proof are not kept");
            Client honest = flood.get(30);
            honest.send(honest.initial());
            assertEquals("served", honest.hear().what(), "with its token it is taken");
            honest.sendNumber(9);
            assertEquals(new Heard("number", 9), honest.hear());
            Client thief = flood.get(31);
            thief.token = flood.get(32).token;
            thief.send(thief.initial());
            assertEquals("RETRY", thief.hear().what(), "another's token is as none");
            standing.sendNumber(2);
            assertEquals(new Heard("number", 2), standing.hear(), "who stood before goes on");
            assertEquals(58L, (long) onLoop(() -> front.context().metrics().get(QuicCounter.RETRY_SENT)));
            assertEquals(1L, (long) onLoop(() -> front.context().metrics().get(QuicCounter.RETRY_ACCEPTED)));
            for (Client c : flood) {
                c.close();
            }
        }
    }

    /** Servers go over to another configuration while connections of the old one stand. */
    @Test
    void configurationsRotateUnderStandingConnections() throws IOException {
        front(Manner.SERVES);
        ServerIds next = new ServerIds(1, 5, 6, null);
        Map<String, String> old = Map.of("000001", "s-1");
        Map<String, String> members = Map.of("0000000001", "s-1");
        try (Client client = new Client(front.address(), 200);
                Client later = new Client(front.address(), 201)) {
            assertEquals("served", open(client).what());
            servers.get(0).ids =
                    new ConnectionIdConfigurations().with(StandIns.IDS, old).with(next, members);
            configure(servers.get(0).ids);
            ConnectionId before = client.server;
            client.server = next.id(new byte[] {0, 0, 0, 0, 1}, new byte[] {1, 2, 3, 4, 5, 6});
            client.sendNumber(1);
            assertEquals(new Heard("number", 1), client.hear(), "an id of the new configuration, never seen");
            assertEquals(
                    1,
                    (int) onLoop(front.context().table()::sessionCount),
                    "the same connection, so the module counts one");
            assertEquals(1, (int) onLoop(() -> core.metrics().activeRequests()));
            configure(new ConnectionIdConfigurations().with(next, members));
            client.server = before;
            client.sendNumber(2);
            assertEquals(new Heard("number", 2), client.hear(), "one that stands goes on under an id of the old");
            later.server = StandIns.IDS.id(servers.get(0).id, new byte[] {4, 4, 4, 4});
            later.sendNumber(3);
            taken(4);
            long unknown = onLoop(() -> front.context().metrics().get(QuicCounter.DROPPED_UNKNOWN_ID));
            assertEquals(1, unknown, "the old configuration leads nowhere any more");
            assertEquals(List.of(1, 2), servers.get(0).numbers);
        }
    }

    /** RFC 9368: the server answers in another version than the client began with, under keys of that version. */
    @Test
    void aServerMayGoOverToVersionTwo() throws IOException {
        front(Manner.SERVES);
        servers.get(0).answers = Version.V2;
        try (Client client = new Client(front.address(), 80)) {
            assertEquals("served", open(client).what());
            client.sendNumber(5);
            assertEquals(new Heard("number", 5), client.hear());
        }
    }

    /** Over QUIC a connection has one class and no group; rules give it both, and the pool that follows from them. */
    @Test
    void rulesGiveAConnectionItsClassAndItsPool() throws IOException {
        front(Manner.SERVES, Manner.SERVES, Manner.SERVES);
        var names = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"))
                .nameIndex();
        var rules = tulipshed.operators.OperatorsFile.read(
                "f",
                ("(pool third (where (= member.id \"s-3\")))"
                                + "(classify (rule r (when (and (= front \"quic\") (in-network source-address \"127.0.0.0/8\")))"
                                + "(class \"gate-status\") (group (substring key 0 2))))"
                                + "(route r (when (and (= class \"gate-status\") (= (length (default group \"\")) 2))) (to third))")
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8),
                names);
        onLoop(() -> {
            core.setRouter(rules.router());
            return null;
        });
        for (int i = 0; i < 6; i++) {
            try (Client client = new Client(front.address(), 20 + i)) {
                assertEquals("served", open(client).what());
            }
        }
        assertEquals(6, servers.get(2).initials.get());
        long asGate = onLoop(() -> core.metrics().responses().get("gate-status").established());
        assertEquals(6, asGate);
    }

    @Test
    void anUnansweredWishLeavesADrainingServerAndIsAnsweredOnce() throws IOException {
        deadlineMs = 3000;
        front(Manner.SILENT);
        try (Client client = new Client(front.address(), 4)) {
            client.send(client.initial());
            while (servers.get(0).initials.get() == 0) {
                Thread.onSpinWait();
            }
            servers.add(new Server(2, Manner.SERVES));
            notifyStatus(1, EndpointStatus.SERVING);
            notifyStatus(0, EndpointStatus.DRAINING);
            assertEquals("served", client.hear().what());
            client.sendNumber(7);
            assertEquals(new Heard("number", 7), client.hear());
            assertEquals(1, servers.get(0).initials.get(), "nothing more to the draining server");
        }
    }

    @Test
    void anIdNeverSeenIsRoutedByTheServerIdInIt() throws IOException {
        // One that serves would reset what it does not know, and what comes after that is answered by the node.
        front(Manner.SILENT, Manner.SILENT);
        try (Client client = new Client(front.address(), 5)) {
            client.server = StandIns.IDS.id(servers.get(1).id, new byte[] {5, 6, 7, 8});
            for (int i = 0; i < 3; i++) {
                client.sendNumber(i);
            }
            // The stand-in knows no client id yet, so only what arrives can be looked at.
            while (servers.get(1).numbers.size() < 3) {
                Thread.onSpinWait();
            }
            assertEquals(List.of(0, 1, 2), servers.get(1).numbers);
            assertEquals(List.of(), servers.get(0).numbers);
            assertEquals(1, (int) onLoop(front.context().table()::sessionCount));
        }
    }

    @Test
    void aRefusalOfAllServersIsOneRefusalRepeatedWord() throws IOException {
        front(Manner.REFUSES, Manner.REFUSES);
        try (Client client = new Client(front.address(), 6)) {
            assertEquals(new Heard("closed", InitialFrames.CONNECTION_REFUSED), open(client));
            int attempts =
                    servers.get(0).initials.get() + servers.get(1).initials.get();
            // A client that missed its answer sends again: the same answer, and no further attempt.
            client.send(client.initial());
            assertEquals(new Heard("closed", InitialFrames.CONNECTION_REFUSED), client.hear());
            assertEquals(
                    attempts,
                    servers.get(0).initials.get() + servers.get(1).initials.get());
            assertEquals(1, (int) onLoop(front.context().table()::sessionCount));
        }
    }

    @Test
    void anErrorIsTriedElsewhere() throws IOException {
        front(Manner.FAILS, Manner.FAILS);
        try (Client client = new Client(front.address(), 7)) {
            client.send(client.initial());
            while (servers.get(0).initials.get() == 0 || servers.get(1).initials.get() == 0) {
                Thread.onSpinWait();
            }
            assertEquals("closed", client.hear().what());
        }
    }

    /** Without this the front would go on asking for whatever class has taken the dropped one's place. */
    @Test
    void aClassThatNewSettingsDropIsUnknownAndOpenConnectionsGoOn() throws IOException {
        front(Manner.SERVES);
        try (Client client = new Client(front.address(), 19);
                Client late = new Client(front.address(), 20)) {
            assertEquals("served", open(client).what());
            onLoop(() -> {
                front.reconfigure(
                        new tulipshed.config.NameIndex(Map.of("slot-board", 0), Map.of("vltava-kontejner", 0)));
                return null;
            });
            assertEquals(new Heard("closed", InitialFrames.INTERNAL_ERROR), open(late));
            assertEquals(1, servers.get(0).initials.get());
            assertEquals(1, (int) onLoop(front.context().table()::sessionCount));
        }
    }

    /** Without this the want of descriptors would look like a member that cannot be reached. */
    @Test
    void aFlowWithoutADescriptorIsTurnedAwayAndNotCountedAgainstTheServer() throws IOException {
        descriptors = 64 + 32 + 4 + 2;
        front(Manner.SERVES);
        notifyStatus(0, EndpointStatus.DRAINING);
        try (Client client = new Client(front.address(), 17)) {
            client.send(client.initial());
            while (onLoop(front.context().table()::sessionCount) == 0) {
                Thread.onSpinWait();
            }
            List<UdpSocket> ports = new ArrayList<>();
            onLoop(() -> {
                while (loop.hasCapacityForUpstream()) {
                    ports.add(loop.bindUdp(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            ByteBuffer.allocate(8),
                            (from, datagram) -> {}));
                }
                return null;
            });
            notifyStatus(0, EndpointStatus.SERVING);
            assertEquals(new Heard("closed", InitialFrames.CONNECTION_REFUSED), client.hear());
            assertEquals(0, servers.get(0).initials.get());
            onLoop(() -> {
                ports.forEach(UdpSocket::close);
                return null;
            });
            try (Client again = new Client(front.address(), 18)) {
                assertEquals("served", open(again).what());
            }
        }
    }

    @Test
    void silenceIsAnsweredByTheDeadline() throws IOException {
        deadlineMs = 300;
        front(Manner.SILENT, Manner.SILENT);
        try (Client client = new Client(front.address(), 8)) {
            assertEquals("closed", open(client).what());
        }
    }

    @Test
    void garbageAndShortFirstDatagramsOpenNothing() throws IOException {
        front(Manner.SERVES);
        try (Client client = new Client(front.address(), 9)) {
            byte[] initial = client.initial();
            byte[] spoilt = initial.clone();
            spoilt[600] ^= 1;
            client.send(spoilt);
            client.send(Arrays.copyOf(initial, 1100));
            client.send(new byte[] {0});
            client.send(new byte[1300]);
            taken(4);
            assertEquals(0, (int) onLoop(front.context().table()::sessionCount));
            byte[] otherVersion = initial.clone();
            otherVersion[1] = 0x5a;
            client.send(otherVersion);
            assertEquals("VERSION_NEGOTIATION", client.hear().what());
            assertEquals("served", open(client).what());
            assertNotEquals(null, client.server);
            assertTrue(onLoop(front.context().table()::idCount) >= 2);
        }
    }

    /** RFC 9000 sections 6.1 and 6.3: the client's ids the other way round, all versions, and one that nobody speaks. */
    @Test
    void theListOfVersionsIsWholeAndGreased() throws IOException {
        front(Manner.SERVES);
        try (Client client = new Client(front.address(), 9)) {
            byte[] other = client.initial();
            other[1] = 0x5a;
            client.send(other);
            assertEquals("VERSION_NEGOTIATION", client.hear().what());
            ByteBuffer list = ByteBuffer.wrap(client.heard);
            assertEquals(0, list.getInt(1));
            byte[] ids = new byte[2 + 4 + 8];
            list.get(5, ids);
            assertEquals("04" + client.own + "08" + client.first, HexFormat.of().formatHex(ids));
            List<Long> versions = new ArrayList<>();
            for (int at = 5 + ids.length; at < client.heardBytes; at += 4) {
                versions.add(list.getInt(at) & 0xFFFFFFFFL);
            }
            assertEquals(List.of(Version.V1.number, Version.V2.number), versions.subList(0, 2));
            assertEquals(0x0A0A0A0AL, versions.get(2) & 0x0F0F0F0FL, "reserved by section 15");
            client.send(Arrays.copyOf(other, 1199));
            client.send(client.initial());
            assertEquals("served", client.hear().what(), "a small one of that kind is not answered");
        }
    }

    @Test
    void aFirstIdOfSevenBytesOpensNothing() throws IOException {
        front(Manner.SERVES);
        try (Client client = new Client(front.address(), 9)) {
            client.first = new ConnectionId(new byte[7]);
            client.send(client.initial());
            taken(1);
            assertEquals(0, (int) onLoop(front.context().table()::sessionCount));
            assertEquals(1, counted(QuicCounter.DROPPED_SMALL));
            client.first = new ConnectionId(new byte[8]);
            assertEquals("served", open(client).what());
        }
    }

    @Test
    void tablesAreBoundedAndIdleIdsAreForgotten() throws IOException {
        maxConnections = 2;
        idleMs = 2000;
        front(Manner.SERVES);
        for (int i = 0; i < 2; i++) {
            try (Client client = new Client(front.address(), 20 + i)) {
                assertEquals("served", open(client).what());
            }
        }
        try (Client client = new Client(front.address(), 30)) {
            assertEquals(new Heard("closed", InitialFrames.CONNECTION_REFUSED), open(client), "no room for a third");
            while (onLoop(front.context().table()::sessionCount) > 0) {
                Thread.onSpinWait();
            }
            assertEquals(0, (int) onLoop(front.context().table()::idCount));
            assertEquals("served", open(client).what());
        }
    }

    /** A Retry changes the id and with it the keys; the client is still the same and owed the same answer. */
    @Test
    void aRetryIsPassedOnAndItsNewIdIsTheSameConnection() throws IOException {
        front(Manner.RETRIES);
        try (Client client = new Client(front.address(), 40)) {
            assertEquals("RETRY", open(client).what());
            assertEquals("served", open(client).what());
            client.sendNumber(3);
            assertEquals(new Heard("number", 3), client.hear());
            assertEquals(1, (int) onLoop(front.context().table()::sessionCount));
            assertEquals(1, servers.get(0).addresses.size());
        }
    }

    /** A server that vanishes says nothing; its client is reset rather than left waiting. */
    @Test
    void aServerThatFallsSilentLosesItsClientInGoodOrder() throws IOException {
        front(Manner.SERVES);
        try (Client client = new Client(front.address(), 41)) {
            assertEquals("served", open(client).what());
            servers.get(0).close();
            Heard heard = new Heard("nothing", 0);
            for (int i = 0; i < 10 && heard.what().equals("nothing"); i++) {
                for (int j = 0; j < 3; j++) {
                    client.sendNumber(j);
                }
                heard = client.hear();
            }
            assertEquals("reset", heard.what());
        }
    }

    @Test
    void aClientThatTakesItsWishBackIsOwedNothing() throws IOException {
        front(Manner.SILENT);
        try (Client client = new Client(front.address(), 42)) {
            client.send(client.initial());
            while (servers.get(0).initials.get() == 0) {
                Thread.onSpinWait();
            }
            client.send(InitialKeys.client(Version.V1, client.first)
                    .seal(client.first, client.own, 1, Arrays.copyOf(InitialFrames.close(0, "never mind"), 1160)));
            client.send(client.initial());
            taken(3);
            assertEquals(
                    1,
                    (int) onLoop(front.context().table()::sessionCount),
                    "no second transaction from its first packet");
            assertEquals(1, servers.get(0).initials.get());
        }
    }
}
