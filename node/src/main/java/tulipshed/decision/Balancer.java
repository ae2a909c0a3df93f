package tulipshed.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * All decisions of one balancer. The interface (types, events, actions) is in BalancerApi.java.
 *
 * <p>Ordinary path: a tenant's token bucket, refilled at the rate that the depth curve gives for the pending
 * depth, admits a new connection; it goes to the lighter of two random ready servers. docs/design.md tells
 * where the rest departs from that and when it acts.
 */
public final class Balancer implements BalancerApi {
    // Shares are of one, times in microseconds, counts in connections unless said otherwise.
    private static final int CURVE_STEPS = 100; // of the depth curve; finer changes nothing
    private static final double CURVE_FREE = 0.25; // depth below which it is free: room for any burst
    private static final double CURVE_START = 4; // equal shares of the quota given where it starts to fall
    private static final double BUCKET_SIZE = 2; // a few clients that come at once are no burst
    private static final int FIRST_LIMIT = 4; // pending, of a server not yet known: it soon doubles
    private static final int HIGHEST_LIMIT = 64; // pending; more acceptances in a row teach nothing more
    private static final int DRAWS = 12; // servers drawn for one candidate before the search goes in turn
    private static final int IN_TURN = 64; // servers then looked at; a next try sees others
    private static final long LEAST_ATTEMPT_US = 60_000; // below this a further attempt is not worth its cost
    private static final long HOLD_US = 200_000; // until a held request looks for a ready server again
    private static final long EJECT_US = 2_000_000; // first ejection, doubled each time in a row
    private static final int MOST_EJECTIONS = 4; // up to 16 s: lists tell of a dead server by then
    private static final int FAILURES = 2; // in a row, to call a server failing: one reset is nothing
    private static final long FAILURE_US = 5_000_000; // after which a failure is no longer in a row
    private static final long LATE_US = 8_000_000; // a slow server is passed over: shorter, and fleets swing
    private static final long FULL_US = 500_000; // a full one is: its queue drains sooner
    private static final double SLOW = 0.34; // of the shortest message aim: slow from here on
    private static final double MOVE_SHARE = 0.3; // of its connections moved off a late server a second
    private static final double PANIC = 0.5; // with fewer servers than this in favour, ejections are ignored
    private static final int SWEEP = 4; // ejected servers looked at a request: faster than they come
    private static final long NEWS_US = 1_500_000; // a delay note is news: they come once a second
    private static final double SPEED_PRIOR = 4; // observations that the belief in equal kinds is worth
    private static final double SETUP_GAIN = 0.1; // weight of one setup time in the usual one of its class
    private static final long WARMING = 2; // warm-ups a server counts as warming: emptier until then
    private static final double FILL = 3; // of the others' mean, times what pushes over, gained in a warm-up
    private static final int WARMING_SEEN = 32; // looked at a request: finds credit on a fleet half new
    private static final double GROUP_MEMORY_US = 60e6; // for arrivals of a group to fade: a life or two
    private static final double GROUP_SPREAD = 1; // of a group's share of the fleet: places hold their due
    private static final int GROUP_PLACES = 2; // at least, or there would be no lighter one
    private static final double GROUP_PULL = 2; // of its even share, up to which a server draws a group
    private static final int MOST_GROUPS = 4096; // remembered before those long unseen are forgotten
    private static final double ASK_SPREAD = 0.4; // of the time allowed: first call to discovery, by chance
    private static final long ASK_AGAIN_US = 1_300_000; // after a failed call, with chance: told in 6 s
    private static final String NO_TENANT = ""; // of requests without one
    private static final double NO_PART = 1e-9; // of the allowances: nothing, and yet free stays free
    private static final double REUSE = 1; // of the mean load, up to which a free connection is used
    private static final double PROBE_WORTH = 0.01; // price of a probe a request below which reports pay
    private static final long PROBE_WAIT_US = 150_000; // for the reports of two candidates
    private static final long REPORT_NEWS_US = 1_000_000; // a report is news
    private static final long LOG_US = 10_000_000; // between lines for the operator
    private static final int TIMER_LIST = 0;
    private static final int TIMER_HELD = 1;

    private Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final long luck;
    private final Map<String, EndpointState> servers = new HashMap<>();
    private final EndpointPool whole = new EndpointPool(0, GROUP_MEMORY_US);
    private final EndpointPool none = new EndpointPool(1, GROUP_MEMORY_US);
    private final Map<String, EndpointPool> pools = new LinkedHashMap<>();
    private final Map<Long, RequestState> requests = new HashMap<>();
    private final Map<String, MachineType> kinds = new LinkedHashMap<>();
    private final Map<String, Double> usualSetupUs = new HashMap<>();
    private final Map<String, Double> usualLoads = new HashMap<>(); // until a connection's own is told
    private final List<RequestState> probing = new ArrayList<>();
    private final ArrayDeque<IdleConnection> idle = new ArrayDeque<>();
    private final DropRateLoadShedder sheds = new DropRateLoadShedder();
    private DepthCurve curve;
    private double fastest;
    private double largestShare;
    private double quotaOpen;
    private double ownPart = 1;
    private long nextLogUs = Long.MIN_VALUE;
    private double lateMs;
    private boolean delaysTold; // settings that promise it do not make it so
    private boolean crossingCosts;
    private boolean reuses;
    private boolean probes;

    public Balancer(Settings settings, long seed, long now, Actions actions) {
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.luck = Hashing.mix(seed);
        reconfigure(now, settings);
        if (settings.polledDiscovery()) {
            // Restarted balancers asking at once would overrun discovery's fixed capacity.
            double latest = settings.rules().pollWithinUs() * ASK_SPREAD;
            actions.scheduleTimer((long) (latest * random.nextDouble()), TIMER_LIST);
        }
    }

    @Override
    public void reconfigure(long now, Settings changed) {
        settings = changed;
        lateMs = settings.classes().stream()
                        .mapToLong(RequestClass::messageLatencyObjectiveUs)
                        .filter(a -> a > 0)
                        .min()
                        .orElse(Long.MAX_VALUE)
                / 1000.0;
        probes = settings.limits().healthChecks()
                && settings.loadReportSource() == LoadReportSource.HEALTH_CHECKS
                && settings.prices().healthCheck() < PROBE_WORTH;
        reuses = settings.prices().handshake() > 0;
        crossingCosts = settings.prices().crossZone() > 0;
        double quota =
                settings.tenants().stream().mapToDouble(Tenant::quotaPerS).sum();
        double connections = settings.tenants().stream()
                .mapToDouble(Tenant::quotaConnections)
                .sum();
        // About what the fleet can hold, also for one that holds nothing yet.
        quotaOpen = connections / settings.nodeCount();
        int tenants = Math.max(1, settings.tenants().size());
        curve = new DepthCurve((quota > 0 ? quota / settings.nodeCount() / tenants : 1) * CURVE_START);
    }

    // ---- Depth curve and buckets ----

    /** Refill rate of every bucket by depth, computed once: free while shallow, falling, zero when full. */
    static final class DepthCurve {
        private final double[] ratePerS = new double[CURVE_STEPS + 1];

        DepthCurve(double startPerS) {
            for (int i = 0; i <= CURVE_STEPS; i++) {
                double depth = (double) i / CURVE_STEPS;
                ratePerS[i] =
                        depth < CURVE_FREE ? Double.POSITIVE_INFINITY : startPerS * (1 - depth) / (1 - CURVE_FREE);
            }
        }

        double rateAt(double depth) {
            return ratePerS[(int) Math.round(Math.max(0, Math.min(1, depth)) * CURVE_STEPS)];
        }
    }

    /** One tenant's allowance of new connections. */
    static final class TokenBucket {
        private double tokens = BUCKET_SIZE;
        private long filledUs;

        TokenBucket(long now) {
            filledUs = now;
        }

        boolean take(long now, double ratePerS) {
            boolean free = ratePerS == Double.POSITIVE_INFINITY;
            tokens = free ? BUCKET_SIZE : Math.min(BUCKET_SIZE, tokens + ratePerS * (now - filledUs) / 1e6);
            filledUs = now;
            if (tokens < 1) {
                return false;
            }
            tokens -= 1;
            return true;
        }

        long untilTokenUs(double ratePerS) {
            return ratePerS > 0 ? (long) ((1 - tokens) / ratePerS * 1e6) : Long.MAX_VALUE;
        }
    }

    // ---- What is known of servers, requests and groups ----

    /** Requests that still owe an answer or await the end of an attempt. */
    int requestsHeld() {
        return requests.size();
    }

    /** What is not counted right; for tests. */
    String miscounted() {
        StringBuilder wrong = new StringBuilder(whole.miscounted(servers.values()));
        pools.values().forEach(pool -> wrong.append(pool.miscounted(servers.values())));
        return wrong.toString();
    }

    // ---- The server list ----

    @Override
    public void endpointsChanged(long now, EndpointListKind kind, List<EndpointInfo> entries) {
        if (kind == EndpointListKind.FAILED) {
            askAgain();
            return;
        }
        if (kind != EndpointListKind.CHANGES) {
            Set<String> listed = new HashSet<>();
            entries.forEach(e -> listed.add(e.id()));
            List<EndpointState> absent = new ArrayList<>(servers.values());
            absent.removeIf(endpoint -> listed.contains(endpoint.name));
            absent.sort(Comparator.comparing(endpoint -> endpoint.name));
            absent.forEach(this::leave);
        }
        for (EndpointInfo e : entries) {
            if (e.status() != EndpointStatus.REMOVED) {
                update(now, server(e.id()), e);
            } else if (servers.containsKey(e.id())) {
                leave(servers.get(e.id()));
            }
        }
    }

    /** A failed call is repeated soon, as changes count as told, and by chance: a crowd feeds itself. */
    private void askAgain() {
        if (settings.polledDiscovery()) {
            actions.scheduleTimer((long) (ASK_AGAIN_US * (0.5 + random.nextDouble())), TIMER_LIST);
        }
    }

    private void update(long now, EndpointState endpoint, EndpointInfo e) {
        EndpointInfo before = endpoint.entry;
        boolean restarted = before != null && before.startedUs() != e.startedUs();
        boolean serving = e.status() == EndpointStatus.SERVING;
        sizes(endpoint, -1);
        endpoint.entry = e;
        endpoint.gone = false;
        endpoint.kind = kinds.computeIfAbsent(e.machineType(), k -> new MachineType());
        // A live share falls with what the server holds: the largest seen of its kind tells its size.
        endpoint.kind.size = Math.max(endpoint.kind.size, e.weight());
        endpoint.size =
                Math.max(1e-6, settings.weightSemantics() == WeightSemantics.LIVE ? endpoint.kind.size : e.weight());
        if (before == null || restarted) {
            // What was learnt of the process before does not hold for the new one.
            setLimit(endpoint, FIRST_LIMIT);
            endpoint.stood = e.startedUs() == 0;
            readmit(endpoint);
            endpoint.fleets.forEach(pool -> pool.warming.remove(endpoint));
            endpoint.ejections = endpoint.failures = 0;
            endpoint.delayAt = Long.MIN_VALUE / 2;
        }
        sizes(endpoint, 1);
        largestShare = Math.max(largestShare, e.weight());
        if (!serving) {
            unready(endpoint);
        } else if (!whole.ready.has(endpoint)) {
            endpoint.fleets.forEach(pool -> pool.ready.add(endpoint));
            endpoint.fleets.forEach(pool -> pool.sum(endpoint, 1));
        }
        if (serving && e.zone().equals(settings.zone())) {
            endpoint.fleets.forEach(pool -> pool.near.add(endpoint));
        }
        if (serving && age(now, endpoint) < WARMING * settings.rules().slowStartUs() && !whole.warming.has(endpoint)) {
            endpoint.fleets.forEach(pool -> pool.warming.add(endpoint));
            endpoint.credit = 0;
            endpoint.creditAt = now;
        }
    }

    private void leave(EndpointState endpoint) {
        unready(endpoint);
        endpoint.gone = true;
        forgetIfGone(endpoint);
    }

    private void forgetIfGone(EndpointState endpoint) {
        if (endpoint.gone && endpoint.open == 0) {
            servers.remove(endpoint.name);
        }
    }

    private void unready(EndpointState endpoint) {
        if (whole.ready.has(endpoint)) {
            readmit(endpoint);
            endpoint.fleets.forEach(pool -> pool.unready(endpoint));
        }
    }

    /** Its size is about to change, or has. */
    private void sizes(EndpointState endpoint, int sign) {
        if (whole.ready.has(endpoint)) {
            endpoint.fleets.forEach(pool -> endpoint.kind.ready(pool.id, sign * endpoint.size));
        }
    }

    private EndpointState server(String name) {
        EndpointState known = servers.get(name);
        if (known == null) {
            known = new EndpointState(name, FIRST_LIMIT, whole);
            servers.put(name, known);
            pooled(known);
        }
        return known;
    }

    @Override
    public void poolsChanged(long now, Map<String, Set<String>> members) {
        pools.forEach((name, pool) -> pool.members = members.getOrDefault(name, Set.of()));
        members.forEach((name, m) ->
                pools.computeIfAbsent(name, n -> new EndpointPool(free(), GROUP_MEMORY_US)).members = m);
        servers.values().forEach(this::pooled);
        pools.keySet().retainAll(members.keySet());
    }

    /** The lowest number that no fleet has. */
    private int free() {
        int id = 2;
        while (pools.values().stream().mapToInt(pool -> pool.id).anyMatch(Integer.valueOf(id)::equals)) {
            id++;
        }
        return id;
    }

    private void pooled(EndpointState endpoint) {
        for (EndpointPool pool : pools.values()) {
            boolean belongs = pool.members.contains(endpoint.name);
            if (belongs != endpoint.fleets.contains(pool)) {
                if (belongs) {
                    pool.enter(endpoint);
                } else {
                    pool.leave(endpoint);
                }
            }
        }
    }

    /** A pool that does not exist any more has no servers. */
    private EndpointPool fleet(String pool) {
        return pool == null ? whole : pools.getOrDefault(pool, none);
    }

    @Override
    public void requestRerouted(long now, long requestId, String pool) {
        RequestState request = requests.get(requestId);
        if (request != null && !request.standing) {
            request.fleet = fleet(pool);
        }
    }

    private void setLimit(EndpointState endpoint, int limit) {
        int bounded = Math.max(1, Math.min(HIGHEST_LIMIT, limit));
        int more = bounded - endpoint.limit;
        if (whole.ready.has(endpoint)) {
            endpoint.fleets.forEach(pool -> pool.limits += more);
        }
        endpoint.limit = bounded;
    }

    // ---- Admission ----

    private RequestState enter(long now, NewRequest in) {
        RequestClass kind = settings.classes().get(in.requestClass());
        double usual = usualLoads.getOrDefault(kind.name(), 1.0);
        RequestState request = new RequestState(in, kind, fleet(in.pool()), now, luck, usual);
        requests.put(in.id(), request);
        return request;
    }

    @Override
    public void requestArrived(long now, NewRequest in) {
        RequestState request = enter(now, in);
        if (!in.midFlow()) {
            double rate = curve.rateAt(depth(now, request.fleet)) * ownPart;
            boolean has = in.tenant() >= 0 && in.tenant() < settings.tenants().size();
            // Kept by name, as a tenant's place in the settings may change.
            TokenBucket bucket = request.fleet.buckets.computeIfAbsent(
                    has ? settings.tenants().get(in.tenant()).name() : NO_TENANT, t -> new TokenBucket(now));
            boolean crowded = in.reconnecting()
                    && Hashing.uniform(request.dice, 0, 0) < sheds.refusal(now, whole.open, whole.ready.size());
            if (crowded || !bucket.take(now, rate)) {
                if (now >= nextLogUs) {
                    nextLogUs = now + LOG_US;
                    actions.log("refusing: " + request.fleet.ejected.size() + " of " + request.fleet.known.size()
                            + " servers known out of favour, " + request.fleet.failing + " of them failing");
                }
                refuse(request, crowded ? LATE_US : bucket.untilTokenUs(rate));
                return;
            }
        }
        place(now, request);
    }

    @Override
    public void quotaShareChanged(long now, double ofBalancer) {
        ownPart = Math.max(NO_PART, ofBalancer);
    }

    /**
     * Pending over limits. A fleet whose standing connections overload it has nothing pending: there the
     * share out of favour of the servers it has news of (and two more, lest one be all) is the depth.
     */
    private double depth(long now, EndpointPool pool) {
        for (int i = 0; i < SWEEP && !pool.ejected.isEmpty(); i++) {
            EndpointState endpoint = pool.ejected.get(random.nextInt(pool.ejected.size()));
            if (now >= endpoint.ejectedUntil) {
                readmit(endpoint);
            }
        }
        double pending = pool.limits == 0 ? 0 : (double) pool.pending / pool.limits;
        return Math.max(pending, pool.ejected.size() / (pool.known.size() + 2.0));
    }

    private void refuse(RequestState request, long retryAfterUs) {
        long longest = settings.limits().retryAfter() ? settings.limits().maxRetryAfterUs() : 0;
        double jitter = 0.75 + 0.25 * random.nextDouble();
        actions.reject(request.in.id(), (long) (Math.min(retryAfterUs, longest) * jitter));
        conclude(request);
    }

    /** A refusal promises that a repeat is harmless, so it needs an effect that allows the promise. */
    private void refuseOrFail(RequestState request, long retryAfterUs) {
        if (!request.mayHaveRun
                || request.kind.idempotency() == Idempotency.IDEMPOTENT
                || (request.kind.idempotency() == Idempotency.WITH_KEY
                        && request.kind.deduplicationScope() == DeduplicationScope.ALL)) {
            refuse(request, retryAfterUs);
        } else {
            actions.fail(request.in.id());
            conclude(request);
        }
    }

    private void conclude(RequestState request) {
        request.answered = true;
        probing.remove(request);
        if (request.server == null) {
            requests.remove(request.in.id());
        }
    }

    // ---- Placement ----

    private void place(long now, RequestState request) {
        long left = request.deadlineUs - now;
        if (request.attempts >= settings.limits().maxAttempts() || left <= 0 || !maySendAgain(now, request)) {
            refuseOrFail(request, HOLD_US);
            return;
        }
        EndpointState endpoint = request.first == null ? choose(now, request) : lighter(now, request);
        if (request.awaited > 0) {
            actions.scheduleTimer(PROBE_WAIT_US, request.in.id() << 1 | TIMER_HELD);
            return;
        }
        if (endpoint == null && request.fleet.ready.isEmpty() && left > 2 * HOLD_US) {
            // No server known to be ready: hold while there is time for the list to name one.
            actions.scheduleTimer(HOLD_US, request.in.id() << 1 | TIMER_HELD);
            return;
        } else if (endpoint == null) {
            // All fail or are late now: given up at once, to come again when there is news of them.
            refuseOrFail(request, NEWS_US);
            return;
        }
        // A silent server must leave time for another attempt.
        boolean last = request.attempts + 1 >= settings.limits().maxAttempts();
        long patience = last || left < 2 * LEAST_ATTEMPT_US ? 0 : Math.max(left / 2, LEAST_ATTEMPT_US);
        request.attempts++;
        request.server = endpoint;
        request.asked = false;
        request.standing = false;
        request.sentAtUs = now;
        endpoint.credit -= 1;
        tally(endpoint, 1, 1, request.load);
        actions.startAttempt(request.in.id(), endpoint.name, patience);
    }

    private boolean maySendAgain(long now, RequestState request) {
        return !request.mayHaveRun
                || switch (request.kind.idempotency()) {
                    case IDEMPOTENT -> true;
                    case WITH_KEY -> now < request.ranAtUs + request.kind.deduplicationWindowUs();
                    case NOT_IDEMPOTENT -> false;
                };
    }

    /** A keyed request that may have run may go only where its repeat is discarded. */
    private boolean sameRepeatGroup(RequestState request, EndpointState endpoint) {
        if (!request.mayHaveRun || request.kind.idempotency() != Idempotency.WITH_KEY) {
            return true;
        }
        return switch (request.kind.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> endpoint.entry.zone().equals(request.ranOn.zone());
            case CELL -> endpoint.entry.cell() == request.ranOn.cell();
        };
    }

    private EndpointState choose(long now, RequestState request) {
        if (request.fleet.ready.isEmpty()) {
            return null;
        }
        fastest = MachineType.estimate(kinds.values(), SPEED_PRIOR);
        whole.weigh(kinds.values());
        request.fleet.weigh(kinds.values());
        ConnectionGroup group = group(now, request);
        // Left to the draws alone, machines added in a rush stay empty while the others are crowded.
        EndpointState a = warmingWithCredit(now, request);
        if (group != null && !group.members.isEmpty()) {
            // A server that holds some of the group has paid for it. Before those that are warming: each
            // more that holds some of a group pays for the group again, and they can bear that least.
            EndpointState m = group.members.get(random.nextInt(group.members.size()));
            EndpointState n = !usualLoads.isEmpty() ? group.members.get(random.nextInt(group.members.size())) : m;
            m = n != m && bears(now, request, n) && load(n, request) < load(m, request) ? n : m;
            if (bears(now, request, m)) {
                return m;
            }
        }
        EndpointState free = a == null ? idle(now, request) : null;
        if (free != null) {
            return free;
        }
        a = a != null ? a : draw(now, request, group, null);
        EndpointState b = a == null ? inTurn(now, request) : draw(now, request, group, a);
        if (probes && a != null && b != null && !request.asked && request.deadlineUs - now > 4 * PROBE_WAIT_US) {
            request.asked = true;
            request.first = a;
            request.second = b;
            request.awaited = ask(now, a) + ask(now, b);
            probing.add(request);
            return request.awaited > 0 ? null : lighter(now, request);
        }
        return a == null || (b != null && load(b, request) < load(a, request)) ? b : a;
    }

    /** Whether a server may draw more of its groups: to a bound; where only delays are told, until late. */
    private boolean bears(long now, RequestState request, EndpointState endpoint) {
        double even = (request.fleet.load + request.load) * endpoint.weight() / Math.max(1e-9, request.fleet.weight);
        return usable(now, request, endpoint)
                && now >= endpoint.ejectedUntil
                && endpoint.pending < endpoint.limit
                && ((delaysTold && usualLoads.isEmpty()) || endpoint.openLoad + request.load <= GROUP_PULL * even);
    }

    private int ask(long now, EndpointState endpoint) {
        if (now - endpoint.reportedAt < REPORT_NEWS_US) {
            return 0;
        }
        actions.startHealthCheck(endpoint.name);
        return 1;
    }

    /** The lighter of two by what they have just reported, as far as they have. */
    private EndpointState lighter(long now, RequestState request) {
        EndpointState a = request.first;
        EndpointState b = request.second;
        request.first = request.second = null;
        request.awaited = 0;
        probing.remove(request);
        if (!usable(now, request, a) || !usable(now, request, b)) {
            return usable(now, request, a) ? a : usable(now, request, b) ? b : choose(now, request);
        }
        boolean reported = now - Math.min(a.reportedAt, b.reportedAt) < REPORT_NEWS_US + PROBE_WAIT_US;
        boolean bLighter = reported ? b.reported < a.reported : load(b, request) < load(a, request);
        return bLighter ? b : a;
    }

    /** Where opening a connection costs: a server to which one of ours has come free, best a near one. */
    private EndpointState idle(long now, RequestState request) {
        double mean = REUSE * request.fleet.load / Math.max(1e-9, request.fleet.weight);
        IdleConnection found = null;
        for (var it = idle.descendingIterator(); it.hasNext(); ) {
            IdleConnection i = it.next();
            boolean better =
                    found == null || (crossingCosts && whole.near.has(i.server()) && !whole.near.has(found.server()));
            if (better
                    && now < i.untilUs()
                    && usable(now, request, i.server())
                    && i.server().openLoad <= mean * i.server().weight()) {
                found = i;
            }
        }
        idle.remove(found);
        return found == null ? null : found.server();
    }

    private EndpointState draw(long now, RequestState request, ConnectionGroup group, EndpointState other) {
        IndexedSet<EndpointState> near = request.fleet.near;
        int spread = group == null ? 0 : spread(now, request.fleet, group);
        for (int i = 0; i < DRAWS; i++) {
            boolean early = i < DRAWS / 2;
            // Away from a zone that fails as a whole: near servers are for first attempts.
            boolean nearby = early && crossingCosts && request.attempts == 0 && !near.isEmpty();
            IndexedSet<EndpointState> from = nearby ? near : request.fleet.ready;
            EndpointState endpoint =
                    group != null && early ? place(request.fleet, group, random.nextInt(spread)) : byWeight(from);
            if (endpoint != other && usable(now, request, endpoint)) {
                return endpoint;
            }
        }
        return null;
    }

    /** A ready server drawn in proportion to its weight. */
    private EndpointState byWeight(IndexedSet<EndpointState> pool) {
        EndpointState endpoint = pool.get(random.nextInt(pool.size()));
        double most = largestShare * fastest;
        for (int i = 0; i < DRAWS && random.nextDouble() * most > endpoint.entry.weight() * endpoint.kind.speed; i++) {
            endpoint = pool.get(random.nextInt(pool.size()));
        }
        return endpoint;
    }

    /**
     * The first server allowed from a random one on, even out of favour: bad luck refuses nobody. One that
     * fails or is late now only for a first attempt: all would be spent on such within a moment.
     */
    private EndpointState inTurn(long now, RequestState request) {
        IndexedSet<EndpointState> ready = request.fleet.ready;
        EndpointState last = null;
        int start = random.nextInt(ready.size());
        for (int i = 0; i < IN_TURN && i < ready.size(); i++) {
            EndpointState endpoint = ready.get((start + i) % ready.size());
            if (endpoint != request.avoid && sameRepeatGroup(request, endpoint) && !cold(now, request, endpoint)) {
                if (!endpoint.failing && !late(now, endpoint)) {
                    return endpoint;
                }
                last = endpoint;
            }
        }
        return request.attempts == 0 ? last : null;
    }

    private boolean usable(long now, RequestState request, EndpointState endpoint) {
        return isEligible(now, request.fleet, endpoint)
                && endpoint != request.avoid
                && sameRepeatGroup(request, endpoint)
                && !cold(now, request, endpoint);
    }

    private boolean isEligible(long now, EndpointPool pool, EndpointState endpoint) {
        // With most servers out of favour the fault is elsewhere: spreading over all beats crowding the rest.
        boolean panic = pool.ejected.size() - pool.failing > (pool.ready.size() - pool.failing) * (1 - PANIC);
        return pool.ready.has(endpoint)
                && (now >= endpoint.ejectedUntil || (panic && !endpoint.failing && !late(now, endpoint)));
    }

    private boolean late(long now, EndpointState endpoint) {
        return now - endpoint.delayAt < NEWS_US && endpoint.delayMs > lateMs;
    }

    @Override
    public int ineligibleCount(long now) {
        return (int) servers.values().stream()
                .filter(endpoint -> !endpoint.gone && endpoint.entry != null)
                .filter(endpoint -> !isEligible(now, whole, endpoint))
                .count();
    }

    @Override
    public int eligibleCount(long now, String poolName) {
        EndpointPool pool = fleet(poolName);
        int count = 0;
        for (int i = 0; i < pool.ready.size(); i++) {
            count += isEligible(now, pool, pool.ready.get(i)) ? 1 : 0;
        }
        return count;
    }

    /**
     * Slow start: whether a server still warming may not be sent this request by this balancer. Its share of
     * what the others bear, spread over the warm-up and ramped by age, is all that it gets, so a wave of
     * arrivals cannot push it over. What is kept for later is what comes in within the time in which a server
     * is pushed over, so all balancers together keep no more, however many they are: a part of a connection
     * is not saved until it is one, but is the chance with which one is sent.
     */
    private boolean cold(long now, RequestState request, EndpointState endpoint) {
        long coldUs = settings.rules().slowStartUs();
        long age = age(now, endpoint);
        if (!whole.warming.has(endpoint) || age >= WARMING * coldUs) {
            return false;
        }
        double share = settings.rules().slowStartShare();
        double ramp = share + (1 - share) * Math.max(0, Math.min(age, coldUs)) / coldUs;
        double each = Math.max(whole.open, quotaOpen) * endpoint.weight() / Math.max(1e-9, whole.weight);
        double perUs = FILL * settings.rules().overloadFactor() * each / coldUs * ramp * ownPart;
        endpoint.credit =
                Math.min(perUs * settings.rules().overloadUs(), endpoint.credit + perUs * (now - endpoint.creditAt));
        endpoint.creditAt = now;
        return endpoint.credit < 1 && endpoint.credit <= Hashing.uniform(request.dice, endpoint.hash, request.attempts);
    }

    private EndpointState warmingWithCredit(long now, RequestState request) {
        IndexedSet<EndpointState> warming = request.fleet.warming;
        int start = random.nextInt(Math.max(1, warming.size()));
        for (int i = 0; i < WARMING_SEEN && i < warming.size(); i++) {
            EndpointState endpoint = warming.get((start + i) % warming.size());
            if (age(now, endpoint) >= WARMING * settings.rules().slowStartUs()) {
                endpoint.fleets.forEach(pool -> pool.warming.remove(endpoint));
                return null;
            }
            if (usable(now, request, endpoint)) {
                return endpoint;
            }
        }
        return null;
    }

    private long age(long now, EndpointState endpoint) {
        return endpoint.entry.startedUs() == 0 ? Long.MAX_VALUE : now - endpoint.entry.startedUs();
    }

    /**
     * Load for each unit of capacity with the newcomer, which counts for no more than the mean: drawn by
     * weight, large servers would else win nearly always where little is held. One at its limit loses.
     */
    private double load(EndpointState endpoint, RequestState request) {
        if (endpoint.pending >= endpoint.limit) {
            return Double.MAX_VALUE;
        }
        double even = endpoint.weight() * request.fleet.load / Math.max(1e-9, request.fleet.weight);
        // A new server counts as if it bore the others' mean, or every balancer would rush to it. Not ramped:
        // its credit already bounds what a warming server is sent.
        double own = endpoint.stood ? endpoint.openLoad : Math.max(endpoint.openLoad, even);
        return (own + Math.min(request.load, even)) / endpoint.weight();
    }

    // ---- Groups ----

    private ConnectionGroup group(long now, RequestState request) {
        String name = request.in.group();
        if (!settings.groupAffinity() || name == null) {
            return null;
        }
        Map<String, ConnectionGroup> groups = request.fleet.groups;
        if (groups.size() > MOST_GROUPS) {
            groups.values().removeIf(group -> group.members.isEmpty() && group.arrivals.at(now) < 0.1);
        }
        return groups.computeIfAbsent(name, n -> new ConnectionGroup(n, GROUP_PLACES, GROUP_MEMORY_US));
    }

    /**
     * How many places a group chooses from: its share of the arrivals seen, of the whole fleet. Laplace's
     * estimate: counting an unseen group as nothing would crowd its first places from many balancers.
     */
    private int spread(long now, EndpointPool pool, ConnectionGroup group) {
        double share = (group.arrivals.at(now) + 1) / (pool.groupArrivals.at(now) + pool.groups.size());
        int places = (int) Math.round(GROUP_SPREAD * share * pool.ready.size());
        return Math.max(GROUP_PLACES, Math.min(pool.ready.size(), places));
    }

    /** The group's i-th place by weighted rendezvous hashing, on which all balancers agree. */
    private EndpointState place(EndpointPool pool, ConnectionGroup group, int i) {
        if (group.listVersion != pool.version) {
            Arrays.fill(group.places, null);
            group.listVersion = pool.version;
        }
        if (i >= group.places.length) {
            group.places = Arrays.copyOf(group.places, Math.max(i + 1, 2 * group.places.length));
        }
        if (group.places[i] == null) {
            double best = Double.MAX_VALUE;
            for (int k = 0; k < pool.ready.size(); k++) {
                EndpointState endpoint = pool.ready.get(k);
                double score = -Math.log(Hashing.uniform(group.hash, endpoint.hash, i)) / endpoint.weight();
                if (score < best) {
                    best = score;
                    group.places[i] = endpoint;
                }
            }
        }
        return group.places[i];
    }

    // ---- What happens to attempts ----

    @Override
    public void connectionAdopted(long now, NewRequest in, String server) {
        RequestState request = enter(now, in);
        request.attempts = 1;
        request.standing = true;
        request.server = server(server);
        request.server.stood = true;
        tally(request.server, 1, 0, request.load);
        if (request.server.kind != null) {
            request.server.kind.foundOpen(kinds.values());
        }
        countGroup(now, request);
    }

    private void countGroup(long now, RequestState request) {
        ConnectionGroup group = group(now, request);
        if (group != null) {
            group.members.add(request.server);
            request.group = group;
            group.arrivals.add(now);
            request.fleet.groupArrivals.add(now);
        }
    }

    @Override
    public void attemptEstablished(long now, long requestId, int attempt, long tookUs) {
        RequestState request = requests.get(requestId);
        if (request == null || request.server == null || request.standing) {
            return;
        }
        request.standing = true;
        request.server.stood = true;
        well(request.server);
        tally(request.server, 0, -1, 0);
        setLimit(request.server, request.server.limit + 1);
        countGroup(now, request);
        // Against what is usual for the class, and capped: one stall says nothing of the kind's speed.
        double usual = usualSetupUs.getOrDefault(request.kind.name(), (double) tookUs);
        usual += (tookUs - usual) * SETUP_GAIN;
        usualSetupUs.put(request.kind.name(), usual);
        request.server.kind.setUp(Math.min(3, tookUs / Math.max(1, usual)));
    }

    @Override
    public void loadReported(long now, long requestId, double loadUsPerS) {
        RequestState request = requests.get(requestId);
        if (request != null && request.server != null) {
            usualLoads.merge(request.kind.name(), loadUsPerS, (usual, told) -> usual + (told - usual) * SETUP_GAIN);
            tally(request.server, 0, 0, loadUsPerS - request.load);
            request.load = loadUsPerS;
        }
    }

    @Override
    public void latencyReported(long now, long requestId, double delayMs) {
        RequestState request = requests.get(requestId);
        if (request == null || request.server == null || request.answered) {
            return;
        }
        EndpointState endpoint = request.server;
        boolean lateBefore = late(now, endpoint);
        delaysTold = true;
        endpoint.delayMs = delayMs;
        endpoint.delayAt = now;
        if (delayMs > SLOW * lateMs) {
            // No more for it before it is late: what is placed while the news travels still arrives.
            eject(now, endpoint, LATE_US);
        }
        // Standing connections alone overload a server for as long as they live; one late second may be a
        // pause, so the second one in a row counts. By chance, as every balancer hears of it.
        if (lateBefore && delayMs > lateMs && random.nextDouble() < MOVE_SHARE * endpoint.open) {
            actions.migrate(requestId);
            conclude(request);
        }
    }

    @Override
    public void attemptEnded(
            long now, long requestId, int attempt, boolean concluded, Outcome outcome, LoadReport report) {
        RequestState request = requests.get(requestId);
        if (request == null || request.server == null) {
            return;
        }
        EndpointState endpoint = request.server;
        request.server = null;
        request.avoid = endpoint;
        tally(endpoint, -1, request.standing ? 0 : -1, -request.load);
        if (request.group != null) {
            request.group.members.remove(endpoint);
            request.group = null;
        }
        if (reuses && (outcome == Outcome.OK || (outcome == Outcome.CANCELLED && request.standing))) {
            while (!idle.isEmpty() && idle.peekFirst().untilUs() <= now) {
                idle.pollFirst();
            }
            idle.addLast(new IdleConnection(endpoint, now + settings.limits().connectionIdleUs()));
        }
        judge(now, endpoint, outcome, request.standing);
        if (outcome == Outcome.RESET && request.standing && whole.ready.has(endpoint)) {
            sheds.dropped(now);
        }
        forgetIfGone(endpoint);
        if (!outcome.neverRan && !request.mayHaveRun) {
            request.mayHaveRun = true;
            request.ranOn = endpoint.entry;
            request.ranAtUs = request.sentAtUs;
        }
        if (concluded || request.answered) {
            requests.remove(requestId);
        } else if (outcome == Outcome.UNUSED || request.deadlineUs - now < LEAST_ATTEMPT_US) {
            refuseOrFail(request, HOLD_US);
        } else {
            place(now, request);
        }
    }

    /** What an attempt's end says of its server: its pending limit (AIMD) and outlier ejection. */
    private void judge(long now, EndpointState endpoint, Outcome outcome, boolean stood) {
        switch (outcome) {
            case OK -> {
                setLimit(endpoint, stood ? endpoint.limit : endpoint.limit + 1);
                well(endpoint);
            }
            case FULL -> {
                setLimit(endpoint, endpoint.limit / 2);
                eject(now, endpoint, FULL_US);
            }
            case CONNECT_FAILED, RESET, TIMEOUT -> {
                setLimit(endpoint, stood || outcome == Outcome.TIMEOUT ? endpoint.limit : endpoint.limit / 2);
                fail(now, endpoint, outcome != Outcome.RESET);
            }
            default -> {}
        }
    }

    /**
     * A reset counts once it is not alone; an unreachable or silent server costs each that tries it far more
     * than a moment, so there one is enough. The many that break when a server dies are one ejection.
     */
    private void fail(long now, EndpointState endpoint, boolean enough) {
        endpoint.failures = now - endpoint.failedAt < FAILURE_US ? endpoint.failures + 1 : 1;
        endpoint.failedAt = now;
        if (!whole.ready.has(endpoint)
                || (endpoint.failing && now < endpoint.ejectedUntil)
                || (endpoint.failures < FAILURES && !enough)) {
            return;
        }
        eject(now, endpoint, EJECT_US << Math.min(endpoint.ejections, MOST_EJECTIONS - 1));
        endpoint.ejections++;
        int more = endpoint.failing ? 0 : 1;
        endpoint.fleets.forEach(pool -> pool.failing += more);
        endpoint.failing = true;
    }

    /** A server serves: whatever it was held to have is over. */
    private void well(EndpointState endpoint) {
        endpoint.ejections = endpoint.failures = 0;
        if (endpoint.failing) {
            readmit(endpoint);
        }
    }

    private void eject(long now, EndpointState endpoint, long forUs) {
        if (!whole.ready.has(endpoint)) {
            return;
        }
        endpoint.fleets.forEach(pool -> pool.ejected.add(endpoint));
        endpoint.fleets.forEach(pool -> pool.count(endpoint));
        // Chance keeps the balancers from coming back to it all at once.
        endpoint.ejectedUntil =
                Math.max(endpoint.ejectedUntil, now + (long) (forUs * (0.75 + 0.5 * random.nextDouble())));
    }

    private void readmit(EndpointState endpoint) {
        endpoint.ejectedUntil = 0;
        int less = endpoint.failing ? 1 : 0;
        endpoint.failing = false;
        endpoint.fleets.forEach(pool -> {
            pool.ejected.remove(endpoint);
            pool.failing -= less;
            pool.count(endpoint);
        });
    }

    /** Adds to what a server bears, and to the sums over ready servers. */
    private void tally(EndpointState endpoint, int opened, int sent, double load) {
        endpoint.open += opened;
        endpoint.pending += sent;
        endpoint.openLoad = endpoint.open == 0 ? 0 : endpoint.openLoad + load;
        boolean ready = whole.ready.has(endpoint);
        endpoint.fleets.forEach(pool -> {
            pool.open += ready ? opened : 0;
            pool.pending += ready ? sent : 0;
            pool.load += ready ? load : 0;
            pool.count(endpoint);
        });
    }

    @Override
    public void requestCancelled(long now, long requestId) {
        RequestState request = requests.get(requestId);
        if (request == null) {
            return;
        }
        if (request.server != null
                && !request.standing
                && !request.answered
                && settings.limits().cancellation()) {
            actions.cancelAttempt(requestId, request.attempts - 1);
        }
        conclude(request);
    }

    @Override
    public void healthCheckCompleted(long now, String server, Outcome outcome, LoadReport report) {
        EndpointState endpoint = servers.get(server);
        if (endpoint == null) {
            return;
        }
        if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.TIMEOUT) {
            eject(now, endpoint, EJECT_US);
        } else if (!Double.isNaN(report.load())) {
            endpoint.reported = report.load();
            endpoint.reportedAt = now;
        }
        for (RequestState request : List.copyOf(probing)) {
            if ((request.first == endpoint || request.second == endpoint)
                    && --request.awaited == 0
                    && !request.answered) {
                place(now, request);
            }
        }
    }

    @Override
    public void timerFired(long now, long token) {
        if (token == TIMER_LIST) {
            actions.watchEndpoints();
            return;
        }
        RequestState request = requests.get(token >> 1);
        if (request != null && request.server == null && !request.answered) {
            place(now, request);
        }
    }

    @Override
    public void peerMessageReceived(long now, int from, byte[] body) {}
}
