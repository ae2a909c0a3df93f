package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import tulipshed.config.NodeConfig;
import tulipshed.decision.BalancerApi.EndpointStatus;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.decision.BalancerApi.RequestClass;
import tulipshed.decision.BalancerApi.Settings;

class TransactionCoreTest {
    private final ProxyCoreFixture bench = new ProxyCoreFixture();

    @Test
    void deliversAllEventsBeforeRunningDecisions() {
        bench.arrive(2000);
        bench.module.startAttempt(1, "s-1", 0);
        bench.arrive(1000);
        assertEquals(List.of("request 2000", "request 1000", "open s-1"), bench.take());
    }

    @Test
    void sendsFinalResponseOnlyOnce() {
        bench.arrive(2000);
        bench.run();
        bench.module.reject(1, 250_000);
        bench.module.reject(1, 250_000);
        bench.module.fail(1);
        bench.core.runBatch();
        assertEquals(List.of("request 2000", "client: reject 250.0"), bench.take());
    }

    @Test
    void allowsOneAttemptAtATime() {
        bench.sent(2000);
        bench.module.startAttempt(bench.lastRequest, "s-1", 0);
        bench.core.runBatch();
        assertEquals(List.of("finished 1 UNUSED"), bench.take());
    }

    @Test
    void connectTimeoutCountsAsNeverExecuted() {
        bench.sent(2000);
        bench.pass(249);
        assertEquals(List.of(), bench.take());
        bench.pass(2);
        assertEquals(List.of("give up", "finished 0 CONNECT_FAILED"), bench.take());
    }

    @Test
    void timesOutShortlyBeforeClientDeadlineAndKeepsRequestPending() {
        Attempt attempt = bench.sent(2000);
        assertTrue(bench.core.mayForward(attempt));
        bench.pass(1950);
        assertEquals(List.of(), bench.take());
        // Shortly before the client's own end, so that the answer reaches it in time.
        bench.pass(11);
        assertEquals(List.of("give up", "finished 0 TIMEOUT"), bench.take());
        assertFalse(bench.core.attemptEstablished(attempt), "what comes after the time-out is not relayed");
    }

    @Test
    void failsRequestWithoutDecisionAtItsDeadline() {
        bench.arrive(300);
        bench.pass(300);
        List<String> heard = bench.take();
        assertEquals(1, heard.stream().filter(l -> l.startsWith("client:")).count(), heard.toString());
        assertEquals("abandoned", heard.get(heard.size() - 1));
    }

    /** The news of a drain can come while the connection is being made. */
    @Test
    void forwardsNothingToEndpointThatStartedDraining() {
        Attempt attempt = bench.sent(2000);
        bench.tell("s-1", EndpointStatus.DRAINING);
        assertFalse(bench.core.mayForward(attempt));
        bench.core.attemptEnded(attempt, Outcome.CONNECT_FAILED);
        bench.module.startAttempt(bench.lastRequest, "s-1", 0);
        assertEquals(List.of("list CHANGES", "finished 0 CONNECT_FAILED", "finished 1 CONNECT_FAILED"), bench.take());
    }

    @Test
    void adoptsConnectionOfDrainingEndpoint() {
        bench.tell("s-1", EndpointStatus.DRAINING);
        bench.take();
        bench.arriveAt("s-1");
        assertEquals(List.of("already open s-1", "open s-1"), bench.take());
        Attempt attempt = bench.flows.get(0);
        assertTrue(bench.core.mayForward(attempt));
        bench.pass(5000);
        assertTrue(bench.core.attemptEstablished(attempt));
        bench.core.attemptEnded(attempt, Outcome.OK);
        assertEquals(List.of("finished 0 OK concluded"), bench.take());
    }

    /** The list known at the start can be older than the connection. */
    @Test
    void adoptionWaitsForUnlistedEndpoint() {
        Request request = bench.arriveAt("s-9");
        bench.pass(3000);
        assertEquals(List.of(), bench.take());
        bench.tell("s-9", EndpointStatus.SERVING);
        bench.pass(150);
        assertEquals(List.of("list CHANGES", "already open s-9", "open s-9"), bench.take());
        assertTrue(request.isPending());
        // Discovery has told its list by now: one that it does not name was made up.
        bench.arriveAt("s-10");
        bench.pass(900);
        assertEquals(List.of(), bench.take());
        bench.pass(201);
        assertEquals(List.of("client: fail"), bench.take());
    }

    @Test
    void adoptionFailsAfterTimeoutWithoutEndpointList() {
        bench.arriveAt("s-10");
        bench.pass(39_900);
        assertEquals(List.of(), bench.take());
        bench.pass(201);
        assertEquals(List.of("client: fail"), bench.take());
    }

    @Test
    void adoptionFailsAtOnceWhenConnectionIsUnknown() {
        bench.arriveAt("s-1");
        bench.take();
        bench.core.attemptEnded(bench.flows.get(0), Outcome.RESET);
        assertEquals(List.of("client: fail", "finished 0 RESET concluded"), bench.take());
    }

    @Test
    void cancelsAttemptWhenClientDisconnects() {
        Attempt attempt = bench.sent(2000);
        bench.core.clientDisconnected(attempt.request());
        assertEquals(List.of("abandoned", "give up", "finished 0 CANCELLED concluded"), bench.take());
        assertFalse(bench.core.attemptEstablished(attempt));
    }

    @Test
    void migratesClientOnceFromUnresponsiveEndpoint() {
        Attempt attempt = bench.sent(2000);
        assertTrue(bench.core.attemptEstablished(attempt));
        bench.core.endpointUnresponsive(attempt);
        bench.core.endpointUnresponsive(attempt);
        assertEquals(
                List.of(
                        "WARN core: endpoint s-1 unresponsive: migrating its client",
                        "client: move",
                        "started 0",
                        "finished 0 RESET concluded"),
                bench.take());
    }

    @Test
    void attemptsLeaveDrainingEndpointWithinGracePeriod() {
        bench.leavesDraining = true;
        Attempt standing = bench.sent(2000);
        bench.core.attemptEstablished(standing);
        bench.sent(2000);
        bench.take();
        bench.tell("s-1", EndpointStatus.DRAINING);
        bench.pass(200);
        List<String> heard = bench.take();
        assertTrue(heard.contains("client: move") && heard.contains("finished 0 RESET"), heard.toString());
        assertFalse(heard.contains("client: fail"), heard.toString());
    }

    @Test
    void shutdownMigratesEstablishedAndRejectsPending() {
        bench.core.attemptEstablished(bench.sent(2000));
        bench.sent(2000);
        bench.take();
        assertTrue(bench.core.migrateOldest());
        assertFalse(bench.core.migrateOldest());
        bench.core.rejectAllPending();
        assertEquals(
                List.of(
                        "client: move",
                        "client: reject 0.0",
                        "give up",
                        "finished 0 CANCELLED concluded",
                        "finished 0 CANCELLED concluded"),
                bench.take());
    }

    @Test
    void deliversTimerOfBalancerAtItsDeadline() {
        bench.module.scheduleTimer(20_000, 77);
        bench.run();
        bench.pass(19);
        assertEquals(List.of(), bench.take());
        bench.pass(2);
        assertEquals(List.of("timer 77"), bench.take());
    }

    private String replies(String requestClass) {
        NodeMetrics.ResponseCounts r = bench.core.metrics().responses().get(requestClass);
        return r.established() + " " + r.rejected() + " " + r.failed();
    }

    @Test
    void countsEachFinalResponseOncePerClass() {
        bench.core.attemptEstablished(bench.sent(2000));
        bench.sent(2000);
        assertEquals(2, bench.core.metrics().activeRequests());
        bench.module.reject(bench.lastRequest, 0);
        bench.module.reject(bench.lastRequest, 0);
        bench.core.runBatch();
        bench.arriveAt("s-1");
        bench.take();
        bench.core.attemptEnded(bench.flows.get(bench.flows.size() - 1), Outcome.RESET);
        bench.core.clientDisconnected(bench.arrive(2000));
        bench.arrive(300);
        bench.pass(300);
        assertEquals("1 1 2", replies("slot-board"));
        assertEquals("0 0 0", replies("gate-status"));
        assertEquals(1, bench.core.metrics().activeRequests(), "the one that stands");
        bench.core.attemptEnded(bench.flows.get(0), Outcome.OK);
        assertEquals(0, bench.core.metrics().activeRequests());
        bench.tell("s-2", EndpointStatus.DRAINING);
        assertEquals(2, bench.core.listedEndpoints());
        bench.tell("s-2", EndpointStatus.REMOVED);
        assertEquals(1, bench.core.listedEndpoints());
    }

    /** Without the order the module would judge an arrival by whatever class has taken its place. */
    @Test
    void deliversNewSettingsAfterEarlierEvents() {
        Settings old = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"))
                .settings();
        List<RequestClass> classes = old.classes();
        bench.core.attemptEstablished(bench.sent(2000));
        bench.take();
        bench.arrive(2000);
        bench.arriveAt("s-9");
        bench.core.reconfigure(new Settings(
                old.nodeIndex(),
                old.nodeCount(),
                old.zone(),
                old.passThrough(),
                old.polledDiscovery(),
                old.groupAffinity(),
                old.weightSemantics(),
                old.loadReportSource(),
                old.limits(),
                old.rules(),
                old.prices(),
                List.of(
                        classes.get(2),
                        new RequestClass(
                                "gate-alarm",
                                1,
                                2000,
                                1,
                                classes.get(0).idempotency(),
                                classes.get(0).deduplicationScope(),
                                1,
                                1)),
                old.tenants()));
        assertEquals(List.of("request 2000", "settings 2"), bench.take());
        assertEquals("0 0 0", replies("gate-alarm"));
        bench.tell("s-9", EndpointStatus.SERVING);
        bench.pass(150);
        assertEquals(List.of("list CHANGES", "already open s-9", "open s-9"), bench.take(), "its class is gone");
        bench.core.attemptEstablished(bench.flows.get(1));
        assertEquals("2 0 0", replies("slot-board"), "and its answer counts for it all the same");
        assertEquals(3000, bench.core.longestDeadlineMs());
    }

    /** Without this the process that takes over places the clients of the other as if nothing stood anywhere. */
    @Test
    void replicatesConnectionsOfHotRestartPeer() {
        Map<Integer, HotRestartPeer.EstablishedConnection> there = new HashMap<>();
        List<Object> noted = new ArrayList<>();
        bench.core.hotRestartPeer(new HotRestartPeer() {
            @Override
            public int connectionEstablished(EstablishedConnection standing) {
                noted.add(standing);
                return 7;
            }

            @Override
            public void connectionEnded(int place) {
                noted.add(place);
            }

            @Override
            public Map<Integer, EstablishedConnection> peerConnections() {
                return there;
            }
        });
        there.put(3, new HotRestartPeer.EstablishedConnection("s-1", "desk", 0));
        there.put(4, new HotRestartPeer.EstablishedConnection("nobody", "desk", 0));
        bench.core.syncHotRestartPeer();
        bench.core.syncHotRestartPeer();
        assertEquals(List.of("already open s-1"), bench.take());
        there.put(3, new HotRestartPeer.EstablishedConnection("s-1", "gate", 0));
        bench.core.syncHotRestartPeer();
        assertEquals(
                List.of("finished 0 CANCELLED concluded", "already open s-1"), bench.take(), "another one there now");
        there.clear();
        bench.core.syncHotRestartPeer();
        assertEquals(List.of("finished 0 CANCELLED concluded"), bench.take());
        assertEquals(0, bench.core.establishedCount());
        Attempt attempt = bench.sent(2000);
        bench.core.attemptEstablished(attempt);
        bench.core.attemptEnded(attempt, Outcome.OK);
        assertEquals(
                List.of(new HotRestartPeer.EstablishedConnection("s-1", null, 0), 7),
                noted,
                "and it is told what stands here");
    }

    // ---- What may have run ----

    private static ProxyCoreFixture once() {
        return new ProxyCoreFixture("\"Effect\": \"repeatable\"", "\"Effect\": \"once\"");
    }

    private static ProxyCoreFixture keyed() {
        return new ProxyCoreFixture(
                "\"Effect\": \"repeatable\",\n    \"Group\": \"all\"",
                "\"Effect\": \"by_key\",\n    \"Group\": \"zone\"");
    }

    /** BUSY says that a repeat is harmless; an attempt that is out may have run. */
    @Test
    void shutdownFailsNonIdempotentRequestThatMayHaveExecuted() {
        for (ProxyCoreFixture bench : List.of(once(), keyed())) {
            Attempt out = bench.sent(2000);
            assertTrue(bench.core.mayForward(out));
            bench.core.rejectAllPending();
            assertEquals(List.of("client: fail", "give up", "finished 0 CANCELLED concluded"), bench.take());
            Attempt before = bench.sent(2000);
            assertTrue(bench.core.mayForward(before));
            bench.core.attemptEnded(before, Outcome.RESET);
            assertEquals(List.of("finished 0 RESET"), bench.take());
            bench.core.rejectAllPending();
            assertEquals("client: fail", bench.take().get(0), "one that is over may have run as well");
        }
    }

    /** Its class was one of which attempts may be repeated when it came; new settings say otherwise. */
    @Test
    void requestKeepsItsClassAcrossReconfiguration() {
        ProxyCoreFixture bench = new ProxyCoreFixture();
        Attempt out = bench.sent(2000);
        assertTrue(bench.core.mayForward(out));
        bench.core.reconfigure(once().settings);
        bench.core.rejectAllPending();
        assertEquals("client: reject 0.0", bench.take().get(0));
        Attempt later = bench.sent(2000);
        assertTrue(bench.core.mayForward(later));
        bench.core.rejectAllPending();
        assertEquals("client: fail", bench.take().get(0));
    }

    @Test
    void shutdownRejectsRequestThatNeverExecuted() {
        ProxyCoreFixture bench = once();
        bench.sent(2000);
        bench.core.rejectAllPending();
        assertEquals("client: reject 0.0", bench.take().get(0), "its connection is not up yet");
        Attempt full = bench.sent(2000);
        assertTrue(bench.core.mayForward(full));
        bench.core.attemptEnded(full, Outcome.FULL);
        assertEquals(List.of("finished 0 FULL"), bench.take());
        bench.core.rejectAllPending();
        assertEquals("client: reject 0.0", bench.take().get(0), "a member that turns away has not run it");
    }

    /** The module chose in time; the bytes would go too late. */
    @Test
    void doesNotForwardRetryAfterDeduplicationWindow() {
        ProxyCoreFixture bench = new ProxyCoreFixture(
                "\"Effect\": \"repeatable\",\n    \"Group\": \"all\",\n    \"HardLimitS\": 4.8,\n"
                        + "    \"LateWorth\": 0.0,\n    \"Name\": \"slot-board\",\n    \"RepeatWindowS\": 5.0",
                "\"Effect\": \"by_key\",\n    \"Group\": \"all\",\n    \"HardLimitS\": 4.8,\n"
                        + "    \"LateWorth\": 0.0,\n    \"Name\": \"slot-board\",\n    \"RepeatWindowS\": 0.2");
        Attempt first = bench.sent(2000);
        assertTrue(bench.core.mayForward(first));
        bench.pass(100);
        bench.core.attemptEnded(first, Outcome.RESET);
        bench.module.startAttempt(bench.lastRequest, "s-1", 0);
        bench.core.runBatch();
        bench.take();
        Attempt late = bench.flows.get(bench.flows.size() - 1);
        bench.pass(98);
        assertTrue(bench.core.mayForward(late), "just in time");
        bench.pass(3);
        assertFalse(bench.core.mayForward(late));
        assertEquals(List.of("finished 1 UNUSED"), bench.take(), "which says nothing of the member");
    }

    /** An attempt whose connection never came up has not run, also where its time ends before that of the connection. */
    @Test
    void timeoutBeforeConnectCountsAsNeverExecuted() {
        ProxyCoreFixture bench = once();
        bench.sent(150);
        bench.pass(111);
        assertEquals(List.of("give up", "finished 0 CONNECT_FAILED"), bench.take());
    }
}
