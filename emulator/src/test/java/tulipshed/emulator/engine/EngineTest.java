package tulipshed.emulator.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EngineTest {
    private static final double WAY = 0.3;

    /** Passes what it gets on to the next, after the shortest way there is or a reminder that is far off. */
    private static final class Passer extends Actor {
        private final List<Actor> all;
        final List<String> got = new ArrayList<>();

        Passer(int id, List<Actor> all) {
            super(id);
            this.all = all;
        }

        @Override
        protected void take(double nowMs, Message m) {
            if (got.size() < 100_000) {
                got.add(m.from() + " " + m.kind + " " + nowMs);
            }
            if (m.kind == 0) {
                send(nowMs + WAY, all.get((id() + m.from() + 1) % all.size()), 0, null, 0);
                if (got.size() % 50 == 0) {
                    remind(nowMs + 7_000, 1, null, 0);
                    remind(nowMs, 2, null, 0);
                }
            }
        }

        void first() {
            send(WAY, all.get((id() + 1) % all.size()), 0, null, 0);
        }
    }

    private static List<Actor> run(int threads) {
        Engine e = new Engine(threads, WAY);
        List<Actor> parts = new ArrayList<>();
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
        List<Actor> one = run(1);
        for (int threads : new int[] {2, 5}) {
            List<Actor> other = run(threads);
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
        List<Actor> parts = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            parts.add(new Actor(i) {
                @Override
                protected void take(double nowMs, Message m) {
                    if (nowMs > 50) {
                        throw new UnsupportedOperationException("no more");
                    }
                    remind(nowMs + 0.1, 0, null, 0);
                }
            });
        }
        parts.forEach(e::add);
        parts.forEach(p -> p.remind(1, 0, null, 0));
        assertThrows(RuntimeException.class, () -> e.run(1000));
    }
}
