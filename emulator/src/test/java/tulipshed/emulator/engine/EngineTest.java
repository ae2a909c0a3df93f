package tulipshed.emulator.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EngineTest {
    private static final double WAY = 0.3;

    /** Passed on to the next actor, by its sender. */
    private record Pass(int sender) implements Payload {
        @Override
        public int traceCode() {
            return 0;
        }
    }

    /** An actor's reminder to itself. */
    private record Reminder(int sender, int kind) implements Payload {
        @Override
        public int traceCode() {
            return kind;
        }
    }

    /** Passes what it gets on to the next, after the shortest way there is or a reminder that is far off. */
    private static final class Passer extends Actor<Payload> {
        private final List<Actor<Payload>> all;
        final List<String> got = new ArrayList<>();

        Passer(int id, List<Actor<Payload>> all) {
            super(id);
            this.all = all;
        }

        @Override
        protected void receive(double nowMs, Payload payload) {
            int sender = payload instanceof Pass pass ? pass.sender() : ((Reminder) payload).sender();
            if (got.size() < 100_000) {
                got.add(sender + " " + payload.traceCode() + " " + nowMs);
            }
            if (payload instanceof Pass) {
                send(nowMs + WAY, all.get((id() + sender + 1) % all.size()), new Pass(id()));
                if (got.size() % 50 == 0) {
                    schedule(nowMs + 7_000, new Reminder(id(), 1));
                    schedule(nowMs, new Reminder(id(), 2));
                }
            }
        }

        void first() {
            send(WAY, all.get((id() + 1) % all.size()), new Pass(id()));
        }
    }

    private static List<Actor<Payload>> run(int threads) {
        Engine e = new Engine(threads, WAY);
        List<Actor<Payload>> parts = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            parts.add(new Passer(i, parts));
        }
        parts.forEach(e::add);
        parts.forEach(p -> ((Passer) p).first());
        e.run(9_000);
        assertTrue(e.handled() > 150_000, "" + e.handled());
        return parts;
    }

    /** Sums of 0.3 are rounded to either side of the edges of windows; seen as a message that arrived within its own. */
    @Test
    void theShortestWayIsLongEnoughAtEveryEdgeAndOnEveryNumberOfThreads() {
        List<Actor<Payload>> one = run(1);
        for (int threads : new int[] {2, 5}) {
            List<Actor<Payload>> other = run(threads);
            for (int i = 0; i < one.size(); i++) {
                assertEquals(((Passer) one.get(i)).got, ((Passer) other.get(i)).got);
            }
        }
        List<String> got = ((Passer) one.get(0)).got;
        assertTrue(got.stream().anyMatch(g -> g.startsWith("0 1 ")), "what lies beyond the wheel comes too");
    }

    /** What breaks off on one thread must not leave the others waiting. */
    @Test
    void aFaultInAPartIsTold() {
        Engine e = new Engine(3, 1);
        List<Actor<Payload>> parts = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            parts.add(new Actor<>(i) {
                @Override
                protected void receive(double nowMs, Payload payload) {
                    if (nowMs > 50) {
                        throw new UnsupportedOperationException("no more");
                    }
                    schedule(nowMs + 0.1, new Reminder(id(), 0));
                }
            });
        }
        parts.forEach(e::add);
        parts.forEach(p -> p.schedule(1, new Reminder(p.id(), 0)));
        assertThrows(RuntimeException.class, () -> e.run(1000));
    }
}
