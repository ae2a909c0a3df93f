package tulipshed.testing;

import java.util.List;
import java.util.Map;
import java.util.Set;
import tulipshed.decision.BalancerApi;

/** Passes every event on; tests override what they listen to. */
public class ModuleDelegate implements BalancerApi {
    private final BalancerApi to;

    public ModuleDelegate(BalancerApi to) {
        this.to = to;
    }

    @Override
    public void servers(long now, ListKind kind, List<ServerEntry> entries) {
        to.servers(now, kind, entries);
    }

    @Override
    public void request(long now, NewRequest request) {
        to.request(now, request);
    }

    @Override
    public void alreadyOpen(long now, NewRequest request, String server) {
        to.alreadyOpen(now, request, server);
    }

    @Override
    public void started(long now, long request, int attempt, long tookUs) {
        to.started(now, request, attempt, tookUs);
    }

    @Override
    public void loadNote(long now, long request, double loadUsPerS) {
        to.loadNote(now, request, loadUsPerS);
    }

    @Override
    public void delayNote(long now, long request, double delayMs) {
        to.delayNote(now, request, delayMs);
    }

    @Override
    public void finished(long now, long request, int attempt, boolean concluded, Outcome outcome, Report report) {
        to.finished(now, request, attempt, concluded, outcome, report);
    }

    @Override
    public void abandoned(long now, long request) {
        to.abandoned(now, request);
    }

    @Override
    public void probed(long now, String server, Outcome outcome, Report report) {
        to.probed(now, server, outcome, report);
    }

    @Override
    public void timer(long now, long token) {
        to.timer(now, token);
    }

    @Override
    public void peerMessage(long now, int from, byte[] body) {
        to.peerMessage(now, from, body);
    }

    @Override
    public int avoided(long now) {
        return to.avoided(now);
    }

    @Override
    public void share(long now, double ofBalancer) {
        to.share(now, ofBalancer);
    }

    @Override
    public void reconfigure(long now, Settings settings) {
        to.reconfigure(now, settings);
    }

    @Override
    public void pools(long now, Map<String, Set<String>> members) {
        to.pools(now, members);
    }

    @Override
    public void route(long now, long request, String pool) {
        to.route(now, request, pool);
    }

    @Override
    public int inFavour(long now, String pool) {
        return to.inFavour(now, pool);
    }
}
