package tulipshed.emulator.loadtest;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.util.HashSet;
import java.util.Set;
import tulipshed.decision.api.Outcome;
import tulipshed.emulator.invariants.NodeInvariants;
import tulipshed.emulator.model.ClientMessage;
import tulipshed.emulator.model.NodeActor;
import tulipshed.emulator.model.NodeTimer;
import tulipshed.emulator.model.ProcessMessage;
import tulipshed.emulator.model.ProcessSignal;
import tulipshed.emulator.model.World;
import tulipshed.emulator.policy.ClientDemand;
import tulipshed.emulator.policy.ClientRequest;
import tulipshed.emulator.policy.EmulatedAttempt;
import tulipshed.emulator.policy.EndpointListDelivery;

/** A node that is a process: its clients connect to it over loopback, its flows arrive at the members' sockets. */
final class SocketNode extends NodeActor {
    private final LoadTestRun run;
    private final NodeProcess process;
    private static final double SOCKETS_MS = 50; // by which each time limit is longer there
    private static final double SAYS_MS = 2000;
    private static final double HEARS_MS = 600; // a sound connection brings a line back at once
    private static final double LISTENS_ON_MS = 300; // after a refusal, for a second answer
    private static final double STILL_CHECK_MS = 50;
    private NodeInvariants rules;
    private double processStartedMs = Double.NEGATIVE_INFINITY;
    private long lostAtShutdown;
    private long lastTry;
    private long served;
    private long endpointConnections;
    private final Set<Client> standing = new HashSet<>();
    private final AnswerDeadlines deadlines = new AnswerDeadlines(SLACK_MS + SOCKETS_MS);

    SocketNode(int id, int number, World world, LoadTestRun run, NodeProcess process) {
        super(id, number, world);
        this.run = run;
        this.process = process;
    }

    /** What it used so far; {@code listBytes} is what discovery has sent it. */
    NodeUsage usage(long listBytes) {
        ProcessUsage used = process.usage();
        return new NodeUsage(
                number,
                used.cpuSeconds(),
                used.peakMemoryMib(),
                used.peakDescriptors(),
                endpointConnections,
                listBytes,
                lastTry,
                served);
    }

    NodeInvariants rules() {
        return rules;
    }

    /** When the present process was started, in milliseconds of the run; that of the first one is before the run. */
    double processStartedMs() {
        return processStartedMs;
    }

    @Override
    protected void begin(EndpointListDelivery list) {
        rules = newRules(SOCKETS_MS);
        clients.next(0);
    }

    @Override
    protected EmulatedAttempt alreadyOpen(ClientDemand w, int member) {
        throw new IllegalArgumentException("over sockets, set clients.come-at-first to 1");
    }

    @Override
    protected boolean takes() {
        return process.serves();
    }

    /** One client's connection to the node. */
    private final class Client implements LineConnection.Listener {
        private final ClientRequest t;
        private LineConnection wire;
        private boolean here = true;
        private double saidMs = Double.NaN;

        Client(ClientRequest t) {
            this.t = t;
        }

        @Override
        public void line(LineConnection from, String line) {
            now();
            String word = line.contains(" ") ? line.substring(0, line.indexOf(' ')) : line;
            if (t.established) {
                if (word.equals("M")) {
                    saidMs = Double.NaN;
                } else if (word.equals("UP") || word.equals("BUSY") || word.equals("ERR")) {
                    rules.answered(nowMs, t.observed, word);
                }
                if (word.equals("MOVE")) {
                    gone();
                    if (t.attempt == null || !t.attempt.ended) {
                        // Its member counts those that it sends away itself.
                        count(tally().moves);
                    }
                    goOn(() -> clients.returns(nowMs, t));
                }
                return;
            }
            if (!t.answerPending) {
                rules.answered(nowMs, t.observed, word + " after its answer");
                return;
            }
            t.answerPending = false;
            if (word.equals("UP")) {
                served++;
                t.established = true;
                standing.add(this);
                schedule(nowMs + SAYS_MS * random.nextDouble(), new ClientLineDue(this));
                deadlines.judge(rules, nowMs, t, "served");
                goOn(() -> clients.served(nowMs, t));
                schedule(Math.max(nowMs, t.demand.wantedUntilMs), new ClientConnectionExpired(this));
                return;
            }
            schedule(nowMs + LISTENS_ON_MS, new ClientConnectionExpired(this));
            boolean busy = word.equals("BUSY");
            deadlines.judge(rules, nowMs, t, busy ? "refused" : "failed");
            count(busy ? tally().refused : tally().failed);
            double retryAfterMs = busy && line.length() > 5 ? Double.parseDouble(line.substring(5)) : 0;
            goOn(() -> clients.refused(nowMs, t, retryAfterMs));
        }

        @Override
        public void ended(LineConnection from, boolean reset) {
            now();
            drop();
            if (t.established) {
                if (process.stopped() && !process.killed() && (t.attempt == null || !t.attempt.ended)) {
                    lostAtShutdown++;
                }
                if (process.killed()) {
                    // Its members count all other resets.
                    count(tally().resets);
                }
                goOn(() -> clients.returns(nowMs, t));
            } else if (t.answerPending) {
                t.answerPending = false;
                if (process.killed()) {
                    rules.clientLeft(t.observed);
                } else {
                    rules.connectionClosed(nowMs, t.observed);
                }
                goOn(() -> clients.again(
                        nowMs, t.demand, world.scenario().clients().reconnectDelayMs()));
            }
        }

        /** The client ends its side. */
        private void gone() {
            wire.close();
            drop();
        }

        private void sendLine() {
            if (here) {
                wire.say("M 1");
                saidMs = Double.isNaN(saidMs) ? nowMs : saidMs;
                schedule(nowMs + SAYS_MS, new ClientLineDue(this));
            }
        }

        private void drop() {
            here = false;
            standing.remove(this);
            run.requests().remove(t);
        }
    }

    /** Worth of the connections that stand and on which no line of the client's is waited for any more than it should. */
    double servedWeight(double atMs) {
        double sum = 0;
        for (Client c : standing) {
            if (!(atMs - c.saidMs > HEARS_MS)) {
                sum += world.scenario()
                        .requestClasses()
                        .get(c.t.demand.requestClass)
                        .priorityWeight();
            }
        }
        return sum;
    }

    private void now() {
        nowMs = run.nowMs();
    }

    private void count(long[] bySecond) {
        goOn(() -> tally().at(bySecond, nowMs));
    }

    /** What follows from an event for clients and figures, unless the day is over: then it is judged and no more. */
    private void goOn(Runnable what) {
        if (!run.isScenarioOver()) {
            what.run();
        }
    }

    @Override
    protected void asked(ClientDemand w, double graceMs) {
        ClientRequest t = new ClientRequest(
                (long) number << OpenRequests.NODE_INDEX_SHIFT | ++lastTry,
                w,
                nowMs,
                nowMs + graceMs,
                rules.requestArrived(nowMs, lastTry, nowMs + graceMs));
        Client c = new Client(t);
        t.policyState = c;
        try {
            c.wire = run.connect(process.address(), c);
        } catch (ConnectException e) {
            c.ended(null, true);
            return;
        } catch (IOException e) {
            throw new UncheckedIOException("the tool cannot open a client's connection", e);
        }
        String id = run.requests().add(t);
        c.wire.say(OpenCommandLine.of(world.scenario(), id, w, graceMs));
        schedule(deadlines.latestMs(t) + 1, new ClientMessage.AnswerDue(t));
    }

    @Override
    protected boolean unanswered(ClientRequest t) {
        if (!t.answerPending) {
            return false;
        }
        double due = deadlines.dueMs(t);
        if (due >= nowMs) {
            schedule(Math.min(due + 1, nowMs + STILL_CHECK_MS), new ClientMessage.AnswerDue(t));
            return false;
        }
        waitedInVain(t);
        return true;
    }

    private void waitedInVain(ClientRequest t) {
        t.answerPending = false;
        rules.waitEnded(nowMs, t.observed);
        ((Client) t.policyState).gone();
    }

    /** After the day's end: judges a client whose answer is overdue. */
    void judgeOverdue(ClientRequest t) {
        now();
        if (t.answerPending && deadlines.dueMs(t) < nowMs) {
            waitedInVain(t);
        }
    }

    /** The node's flow for a client has arrived at a member. */
    EmulatedAttempt dialled(ClientRequest t, int member, LineConnection wire) {
        now();
        endpointConnections++;
        EmulatedAttempt f = new EmulatedAttempt(t, member, nowMs, run.listedStartMs(member), this);
        t.attemptCount++;
        // One that was held on its way comes after the one that took its place.
        t.attempt = t.attempt == null || t.attempt.ended ? f : t.attempt;
        f.policyState = wire;
        if (!run.hasLinks()) {
            rules.attemptStarted(nowMs, t.observed, member);
        }
        count(tally().attempts);
        sendDial(f);
        return f;
    }

    /** The node has ended a flow, because its client left or because it did not want to wait. */
    void closedByNode(EmulatedAttempt f) {
        now();
        if (!f.ended) {
            f.ended = true;
            over(f, "closed by the node");
            sendHangup(f);
        }
    }

    /** Over links, the node's end of them says when a flow is over. */
    private void over(EmulatedAttempt f, String how) {
        if (!run.hasLinks()) {
            rules.attemptEnded(nowMs, f.request.observed, how);
        }
    }

    /** Suspends its process, or resumes it. */
    void setSuspended(boolean suspended) {
        if (suspended) {
            deadlines.suspended(run.nowMs());
            process.setSuspended(true);
        } else {
            process.setSuspended(false);
            deadlines.resumed(run.nowMs());
        }
    }

    @Override
    protected void onAttemptUp(EmulatedAttempt attempt) {
        if (!attempt.ended) {
            ((LineConnection) attempt.policyState).say("UP r" + Long.toHexString(attempt.request.id));
        }
    }

    @Override
    protected void onAttemptEnded(EmulatedAttempt attempt, Outcome outcome) {
        if (!attempt.ended) {
            attempt.ended = true;
            over(attempt, "" + outcome);
            SocketEndpoint.end(attempt, outcome);
        }
    }

    @Override
    protected void onMessageDelay(EmulatedAttempt attempt, double delayMs) {
        if (!attempt.ended) {
            ((LineConnection) attempt.policyState).say("LOAD " + Math.round(delayMs));
        }
    }

    @Override
    protected void onStopProcess(boolean graceful) {
        process.stop(graceful);
        schedule(nowMs + world.scenario().nodes().restartMs(), new ProcessMessage.StartProcess());
    }

    @Override
    protected void onSignal(ProcessSignal signal) {
        if (signal == ProcessSignal.KILL) {
            lostAtShutdown += process.alive() ? standing.size() : 0;
            process.stop(false);
            schedule(nowMs + world.scenario().nodes().restartMs(), new ProcessMessage.StartProcess());
        } else if (process.alive() && signal == ProcessSignal.HUP) {
            process.reload();
        } else if (process.alive()) {
            process.stop(true);
        }
    }

    /** Connections that a process cut off without a word as it ended, or still held when it was killed after its time. */
    long lostAtShutdown() {
        return lostAtShutdown;
    }

    @Override
    protected void onStartProcess() {
        if (process.alive()) {
            schedule(nowMs + 50, new ProcessMessage.StartProcess());
        } else {
            // Another process, which knows what its file says until it is told.
            rules.processStarted();
            deadlines.resumed(run.nowMs());
            processStartedMs = run.nowMs();
            process.start();
        }
    }

    /** A client sends its next line. */
    private record ClientLineDue(Client client) implements NodeTimer {
        @Override
        public int traceCode() {
            return 21;
        }

        @Override
        public void fire() {
            client.sendLine();
        }
    }

    /** A client needs its connection no longer. */
    private record ClientConnectionExpired(Client client) implements NodeTimer {
        @Override
        public int traceCode() {
            return 9;
        }

        @Override
        public void fire() {
            if (client.here) {
                client.gone();
            }
        }
    }
}
