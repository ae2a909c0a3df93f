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
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.decision.BalancerApi.RequestClass;
import tulipshed.decision.BalancerApi.ServerState;
import tulipshed.decision.BalancerApi.Settings;

class TransactionCoreTest {
    private final CoreBench bench = new CoreBench();

    @Test
    void allThatIsReadyGoesToTheModuleBeforeAnythingIsCarriedOut() {
        bench.arrive(2000);
        bench.module.send(1, "s-1", 0);
        bench.arrive(1000);
        assertEquals(List.of("request 2000", "request 1000", "open s-1"), bench.take());
    }

    @Test
    void aRejectionIsGivenAtOnceAndOnlyOnce() {
        bench.arrive(2000);
        bench.run();
        bench.module.refuse(1, 250_000);
        bench.module.refuse(1, 250_000);
        bench.module.fail(1);
        bench.core.turn();
        assertEquals(List.of("request 2000", "client: reject 250.0"), bench.take());
    }

    @Test
    void onlyOneFlowIsOutAtATime() {
        bench.sent(2000);
        bench.module.send(bench.lastRequest, "s-1", 0);
        bench.core.turn();
        assertEquals(List.of("finished 1 UNUSED"), bench.take());
    }

    @Test
    void aConnectionNotUpInTimeCountsAsNeverRun() {
        bench.sent(2000);
        bench.pass(249);
        assertEquals(List.of(), bench.take());
        bench.pass(2);
        assertEquals(List.of("give up", "finished 0 CONNECT_FAILED"), bench.take());
    }

    @Test
    void silenceUntilTheClientGivesUpIsATimeOutStillOwedAnAnswer() {
        ServerSideFlow flow = bench.sent(2000);
        assertTrue(bench.core.maySend(flow));
        bench.pass(1950);
        assertEquals(List.of(), bench.take());
        // Shortly before the client's own end, so that the answer reaches it in time.
        bench.pass(11);
        assertEquals(List.of("give up", "finished 0 TIMEOUT"), bench.take());
        assertFalse(bench.core.up(flow), "what comes after the time-out is not relayed");
    }

    @Test
    void whatTheModuleForgetsIsAnsweredAllTheSame() {
        bench.arrive(300);
        bench.pass(300);
        List<String> heard = bench.take();
        assertEquals(1, heard.stream().filter(l -> l.startsWith("client:")).count(), heard.toString());
        assertEquals("abandoned", heard.get(heard.size() - 1));
    }

    /** The news of a drain can come while the connection is being made. */
    @Test
    void nothingIsSentToAMemberThatBeganToDrainMeanwhile() {
        ServerSideFlow flow = bench.sent(2000);
        bench.tell("s-1", ServerState.DRAINING);
        assertFalse(bench.core.maySend(flow));
        bench.core.ended(flow, Outcome.CONNECT_FAILED);
        bench.module.send(bench.lastRequest, "s-1", 0);
        assertEquals(List.of("list CHANGES", "finished 0 CONNECT_FAILED", "finished 1 CONNECT_FAILED"), bench.take());
    }

    @Test
    void aConnectionThatStoodBeforeGoesToItsMemberEvenWhileThatDrains() {
        bench.tell("s-1", ServerState.DRAINING);
        bench.take();
        bench.arriveAt("s-1");
        assertEquals(List.of("already open s-1", "open s-1"), bench.take());
        ServerSideFlow flow = bench.flows.get(0);
        assertTrue(bench.core.maySend(flow));
        bench.pass(5000);
        assertTrue(bench.core.up(flow));
        bench.core.ended(flow, Outcome.OK);
        assertEquals(List.of("finished 0 OK concluded"), bench.take());
    }

    /** The list known at the start can be older than the connection. */
    @Test
    void oneThatStoodAtAMemberNotYetNamedWaitsForTheList() {
        Transaction t = bench.arriveAt("s-9");
        bench.pass(3000);
        assertEquals(List.of(), bench.take());
        bench.tell("s-9", ServerState.SERVING);
        bench.pass(150);
        assertEquals(List.of("list CHANGES", "already open s-9", "open s-9"), bench.take());
        assertTrue(t.owed());
        // Discovery has told its list by now: one that it does not name was made up.
        bench.arriveAt("s-10");
        bench.pass(900);
        assertEquals(List.of(), bench.take());
        bench.pass(201);
        assertEquals(List.of("client: fail"), bench.take());
    }

    @Test
    void oneThatStoodAtAMemberIsNotWaitedForWithoutEndWhereNoListComes() {
        bench.arriveAt("s-10");
        bench.pass(39_900);
        assertEquals(List.of(), bench.take());
        bench.pass(201);
        assertEquals(List.of("client: fail"), bench.take());
    }

    @Test
    void oneThatStoodBeforeAndIsNotFoundFailsAtOnce() {
        bench.arriveAt("s-1");
        bench.take();
        bench.core.ended(bench.flows.get(0), Outcome.RESET);
        assertEquals(List.of("client: fail", "finished 0 RESET concluded"), bench.take());
    }

    @Test
    void aClientThatLeavesTakesItsFlowWithIt() {
        ServerSideFlow flow = bench.sent(2000);
        bench.core.clientLeft(flow.transaction());
        assertEquals(List.of("abandoned", "give up", "finished 0 CANCELLED concluded"), bench.take());
        assertFalse(bench.core.up(flow));
    }

    @Test
    void aSilentMemberLosesItsClientInGoodOrder() {
        ServerSideFlow flow = bench.sent(2000);
        assertTrue(bench.core.up(flow));
        bench.core.silent(flow);
        bench.core.silent(flow);
        assertEquals(List.of("silent: s-1", "client: move", "started 0", "finished 0 RESET concluded"), bench.take());
    }

    @Test
    void flowsThatMayNotStayLeaveADrainingMemberWithinItsGrace() {
        bench.leavesDraining = true;
        ServerSideFlow standing = bench.sent(2000);
        bench.core.up(standing);
        bench.sent(2000);
        bench.take();
        bench.tell("s-1", ServerState.DRAINING);
        bench.pass(200);
        List<String> heard = bench.take();
        assertTrue(heard.contains("client: move") && heard.contains("finished 0 RESET"), heard.toString());
        assertFalse(heard.contains("client: fail"), heard.toString());
    }

    @Test
    void leavingMovesWhoStandsAndRejectsWhoIsOwed() {
        bench.core.up(bench.sent(2000));
        bench.sent(2000);
        bench.take();
        assertTrue(bench.core.moveOne());
        assertFalse(bench.core.moveOne());
        bench.core.rejectAllOwed();
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
    void timersComeBackWhenDue() {
        bench.module.timer(20_000, 77);
        bench.run();
        bench.pass(19);
        assertEquals(List.of(), bench.take());
        bench.pass(2);
        assertEquals(List.of("timer 77"), bench.take());
    }

    private String replies(String requestClass) {
        Figures.Replies r = bench.core.figures().replies().get(requestClass);
        return r.up() + " " + r.rejected() + " " + r.failed();
    }

    @Test
    void eachFinalAnswerIsCountedOnceForItsClass() {
        bench.core.up(bench.sent(2000));
        bench.sent(2000);
        assertEquals(2, bench.core.figures().concurrent());
        bench.module.refuse(bench.lastRequest, 0);
        bench.module.refuse(bench.lastRequest, 0);
        bench.core.turn();
        bench.arriveAt("s-1");
        bench.take();
        bench.core.ended(bench.flows.get(bench.flows.size() - 1), Outcome.RESET);
        bench.core.clientLeft(bench.arrive(2000));
        bench.arrive(300);
        bench.pass(300);
        assertEquals("1 1 2", replies("slot-board"));
        assertEquals("0 0 0", replies("gate-status"));
        assertEquals(1, bench.core.figures().concurrent(), "the one that stands");
        bench.core.ended(bench.flows.get(0), Outcome.OK);
        assertEquals(0, bench.core.figures().concurrent());
        bench.tell("s-2", ServerState.DRAINING);
        assertEquals(2, bench.core.targets());
        bench.tell("s-2", ServerState.GONE);
        assertEquals(1, bench.core.targets());
    }

    /** Without the order the module would judge an arrival by whatever class has taken its place. */
    @Test
    void newSettingsComeAfterWhatWasGatheredUnderTheOldOnes() {
        Settings old = NodeConfig.load(Map.of("PROXY_CONFIG", "src/test/resources/node.json"))
                .settings();
        List<RequestClass> classes = old.classes();
        bench.core.up(bench.sent(2000));
        bench.take();
        bench.arrive(2000);
        bench.arriveAt("s-9");
        bench.core.reconfigure(new Settings(
                old.self(),
                old.balancers(),
                old.zone(),
                old.passThrough(),
                old.askedList(),
                old.groups(),
                old.weights(),
                old.reports(),
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
                                classes.get(0).effect(),
                                classes.get(0).repeatGroup(),
                                1,
                                1)),
                old.tenants()));
        assertEquals(List.of("request 2000", "settings 2"), bench.take());
        assertEquals("0 0 0", replies("gate-alarm"));
        bench.tell("s-9", ServerState.SERVING);
        bench.pass(150);
        assertEquals(List.of("list CHANGES", "already open s-9", "open s-9"), bench.take(), "its class is gone");
        bench.core.up(bench.flows.get(1));
        assertEquals("2 0 0", replies("slot-board"), "and its answer counts for it all the same");
        assertEquals(3000, bench.core.longestDeadlineMs());
    }

    /** Without this the process that takes over places the clients of the other as if nothing stood anywhere. */
    @Test
    void whatStandsInTheOtherProcessIsOpenForTheModuleUntilItEndsThere() {
        Map<Integer, Companion.Standing> there = new HashMap<>();
        List<Object> noted = new ArrayList<>();
        bench.core.companion(new Companion() {
            @Override
            public int stands(Standing standing) {
                noted.add(standing);
                return 7;
            }

            @Override
            public void ended(int place) {
                noted.add(place);
            }

            @Override
            public Map<Integer, Standing> others() {
                return there;
            }
        });
        there.put(3, new Companion.Standing("s-1", "desk", 0));
        there.put(4, new Companion.Standing("nobody", "desk", 0));
        bench.core.lookAtCompanion();
        bench.core.lookAtCompanion();
        assertEquals(List.of("already open s-1"), bench.take());
        there.put(3, new Companion.Standing("s-1", "gate", 0));
        bench.core.lookAtCompanion();
        assertEquals(
                List.of("finished 0 CANCELLED concluded", "already open s-1"), bench.take(), "another one there now");
        there.clear();
        bench.core.lookAtCompanion();
        assertEquals(List.of("finished 0 CANCELLED concluded"), bench.take());
        assertEquals(0, bench.core.standingCount());
        ServerSideFlow flow = bench.sent(2000);
        bench.core.up(flow);
        bench.core.ended(flow, Outcome.OK);
        assertEquals(List.of(new Companion.Standing("s-1", null, 0), 7), noted, "and it is told what stands here");
    }

    // ---- What may have run ----

    private static CoreBench once() {
        return new CoreBench("\"Effect\": \"repeatable\"", "\"Effect\": \"once\"");
    }

    private static CoreBench keyed() {
        return new CoreBench(
                "\"Effect\": \"repeatable\",\n    \"Group\": \"all\"",
                "\"Effect\": \"by_key\",\n    \"Group\": \"zone\"");
    }

    /** BUSY says that a repeat is harmless; an attempt that is out may have run. */
    @Test
    void aLeavingNodeDoesNotCallHarmlessWhatMayHaveRun() {
        for (CoreBench bench : List.of(once(), keyed())) {
            ServerSideFlow out = bench.sent(2000);
            assertTrue(bench.core.maySend(out));
            bench.core.rejectAllOwed();
            assertEquals(List.of("client: fail", "give up", "finished 0 CANCELLED concluded"), bench.take());
            ServerSideFlow before = bench.sent(2000);
            assertTrue(bench.core.maySend(before));
            bench.core.ended(before, Outcome.RESET);
            assertEquals(List.of("finished 0 RESET"), bench.take());
            bench.core.rejectAllOwed();
            assertEquals("client: fail", bench.take().get(0), "one that is over may have run as well");
        }
    }

    /** Its class was one of which attempts may be repeated when it came; new settings say otherwise. */
    @Test
    void anOpenTransactionKeepsTheClassThatItCameWith() {
        CoreBench bench = new CoreBench();
        ServerSideFlow out = bench.sent(2000);
        assertTrue(bench.core.maySend(out));
        bench.core.reconfigure(once().settings);
        bench.core.rejectAllOwed();
        assertEquals("client: reject 0.0", bench.take().get(0));
        ServerSideFlow later = bench.sent(2000);
        assertTrue(bench.core.maySend(later));
        bench.core.rejectAllOwed();
        assertEquals("client: fail", bench.take().get(0));
    }

    @Test
    void aLeavingNodeRefusesWhatNeverRan() {
        CoreBench bench = once();
        bench.sent(2000);
        bench.core.rejectAllOwed();
        assertEquals("client: reject 0.0", bench.take().get(0), "its connection is not up yet");
        ServerSideFlow full = bench.sent(2000);
        assertTrue(bench.core.maySend(full));
        bench.core.ended(full, Outcome.FULL);
        assertEquals(List.of("finished 0 FULL"), bench.take());
        bench.core.rejectAllOwed();
        assertEquals("client: reject 0.0", bench.take().get(0), "a member that turns away has not run it");
    }

    /** The module chose in time; the bytes would go too late. */
    @Test
    void aRepeatWhoseTimePassesWhileTheConnectionIsMadeIsNotSent() {
        CoreBench bench = new CoreBench(
                "\"Effect\": \"repeatable\",\n    \"Group\": \"all\",\n    \"HardLimitS\": 4.8,\n"
                        + "    \"LateWorth\": 0.0,\n    \"Name\": \"slot-board\",\n    \"RepeatWindowS\": 5.0",
                "\"Effect\": \"by_key\",\n    \"Group\": \"all\",\n    \"HardLimitS\": 4.8,\n"
                        + "    \"LateWorth\": 0.0,\n    \"Name\": \"slot-board\",\n    \"RepeatWindowS\": 0.2");
        ServerSideFlow first = bench.sent(2000);
        assertTrue(bench.core.maySend(first));
        bench.pass(100);
        bench.core.ended(first, Outcome.RESET);
        bench.module.send(bench.lastRequest, "s-1", 0);
        bench.core.turn();
        bench.take();
        ServerSideFlow late = bench.flows.get(bench.flows.size() - 1);
        bench.pass(98);
        assertTrue(bench.core.maySend(late), "just in time");
        bench.pass(3);
        assertFalse(bench.core.maySend(late));
        assertEquals(List.of("finished 1 UNUSED"), bench.take(), "which says nothing of the member");
    }

    /** An attempt whose connection never came up has not run, also where its time ends before that of the connection. */
    @Test
    void aTimeOutBeforeTheConnectionIsUpProvesThatNothingRan() {
        CoreBench bench = once();
        bench.sent(150);
        bench.pass(111);
        assertEquals(List.of("give up", "finished 0 CONNECT_FAILED"), bench.take());
    }
}
