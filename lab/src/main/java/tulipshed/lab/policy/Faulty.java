package tulipshed.lab.policy;

import java.util.HashMap;
import java.util.Map;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.lab.scenario.Scenario;

/** The whole core with one fault between it and the world, now and then: what the checkers must find. */
final class Faulty implements Policy, Host {
    /** What is done wrong. */
    enum Fault {
        LATE_ANSWER,
        SECOND_ANSWER,
        DRAINED_MEMBER,
        COLD_MEMBER,
        SILENCE
    }

    private static final int EVERY = 10; // of the chances to do it wrong
    private static final double LATE_MS = 200; // after the client's wait
    private static final double LONG_DRAINED_MS = 500;

    private final Host host;
    private final Fault fault;
    private final Policy core;
    private final Map<Integer, Double> notServingSince = new HashMap<>();
    private final Map<Integer, Double> started = new HashMap<>();
    private int chances;

    Faulty(Host host, Map<String, Integer> numbers, Fault fault) {
        this.host = host;
        this.fault = fault;
        core = new CorePolicy(this, numbers);
    }

    private boolean strikes(Fault f) {
        return fault == f && ++chances % EVERY == 0;
    }

    // ---- What the core does to the world ----

    @Override
    public Flow dial(Try t, int member) {
        int to = member;
        if (fault == Fault.DRAINED_MEMBER) {
            to = notServingSince.entrySet().stream()
                    .filter(e -> nowMs() - e.getValue() > LONG_DRAINED_MS)
                    .map(Map.Entry::getKey)
                    .min(Integer::compare)
                    .orElse(member);
        } else if (fault == Fault.COLD_MEMBER) {
            to = started.entrySet().stream()
                    .filter(e -> nowMs() - e.getValue() < scenario().members().warmMs() / 2)
                    .map(Map.Entry::getKey)
                    .min(Integer::compare)
                    .orElse(member);
        }
        return host.dial(t, to);
    }

    @Override
    public void refuse(Try t, double retryAfterMs) {
        if (strikes(Fault.LATE_ANSWER)) {
            host.after(t.leftMs(nowMs()) + LATE_MS, () -> host.refuse(t, retryAfterMs));
        } else if (!strikes(Fault.SILENCE)) {
            host.refuse(t, retryAfterMs);
            if (strikes(Fault.SECOND_ANSWER)) {
                host.after(1, () -> host.refuse(t, retryAfterMs));
            }
        }
    }

    @Override
    public void fail(Try t) {
        host.fail(t);
    }

    @Override
    public double nowMs() {
        return host.nowMs();
    }

    @Override
    public Scenario scenario() {
        return host.scenario();
    }

    @Override
    public int node() {
        return host.node();
    }

    @Override
    public long seed() {
        return host.seed();
    }

    @Override
    public int members() {
        return host.members();
    }

    @Override
    public String nameOf(int member) {
        return host.nameOf(member);
    }

    @Override
    public void giveUp(Flow f) {
        host.giveUp(f);
    }

    @Override
    public void move(Try t) {
        host.move(t);
    }

    @Override
    public void after(double ms, Runnable what) {
        host.after(ms, what);
    }

    @Override
    public void watch() {
        host.watch();
    }

    @Override
    public Truth truth(int member) {
        return host.truth(member);
    }

    // ---- What the world does to the core ----

    @Override
    public void list(MemberNews.Batch news) {
        for (MemberNews n : news.news()) {
            if (n.serving()) {
                notServingSince.remove(n.member());
                long us = n.listed().info().startedUs();
                if (us > 0) {
                    started.put(n.member(), us / 1000.0);
                }
            } else {
                notServingSince.putIfAbsent(n.member(), nowMs());
                started.remove(n.member());
            }
        }
        core.list(news);
    }

    @Override
    public void arrived(Try t) {
        core.arrived(t);
    }

    @Override
    public void alreadyOpen(Try t, Flow f) {
        core.alreadyOpen(t, f);
    }

    @Override
    public boolean up(Flow f) {
        return core.up(f);
    }

    @Override
    public void ended(Flow f, Outcome outcome) {
        core.ended(f, outcome);
    }

    @Override
    public void left(Try t) {
        core.left(t);
    }

    @Override
    public void delayed(Flow f, double delayMs) {
        core.delayed(f, delayMs);
    }

    @Override
    public void loadChanged(Flow f) {
        core.loadChanged(f);
    }

    @Override
    public void reload() {
        core.reload();
    }

    @Override
    public void settle() {
        core.settle();
    }
}
