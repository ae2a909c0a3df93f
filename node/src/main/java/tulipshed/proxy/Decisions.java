package tulipshed.proxy;

import java.util.function.Consumer;
import tulipshed.decision.BalancerApi;
import tulipshed.time.Clock;

/** Keeps what the module decides until the whole batch has been handed over. */
final class Decisions implements BalancerApi.Actions {
    private final TransactionCore core;
    private final Turns turns;
    private final Clock clock;
    private final Consumer<String> log;

    Decisions(TransactionCore core, Turns turns, Clock clock, Consumer<String> log) {
        this.core = core;
        this.turns = turns;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public void send(long request, String server, long timeoutUs) {
        turns.decide(() -> core.send(request, server, Clock.toMillis(timeoutUs)));
    }

    @Override
    public void cancel(long request, int attempt) {
        turns.decide(() -> core.cancel(request, attempt));
    }

    @Override
    public void refuse(long request, long retryAfterUs) {
        turns.decide(() -> core.refuse(request, Clock.toMillis(retryAfterUs)));
    }

    @Override
    public void fail(long request) {
        turns.decide(() -> core.fail(request));
    }

    @Override
    public void move(long request) {
        turns.decide(() -> core.move(request));
    }

    @Override
    public void timer(long afterUs, long token) {
        turns.due(
                clock.nowMs() + Clock.toMillis(afterUs),
                () -> turns.gather((module, ms, nowUs) -> module.timer(nowUs, token)));
    }

    @Override
    public void probe(String server) {
        turns.decide(() -> core.probe(server));
    }

    @Override
    public void tell(int peer, byte[] body) {
        turns.decide(() -> core.tell(peer, body));
    }

    @Override
    public void watchList() {
        turns.decide(core::watchList);
    }

    @Override
    public void log(String message) {
        log.accept(message);
    }
}
