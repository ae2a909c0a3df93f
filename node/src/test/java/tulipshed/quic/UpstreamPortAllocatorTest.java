package tulipshed.quic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The assignment of sockets: never two flows of an endpoint to one, as that would mix up their clients. */
class UpstreamPortAllocatorTest {
    private static final int STEPS = 400;
    private static final int ENDPOINTS = 4;

    private record Flow(int endpoint, int socket) {}

    private static InetSocketAddress address(int endpoint) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 1 + endpoint);
    }

    /** Random flows that open and end, with what an allocator may do with each. */
    private static final class RandomFlows {
        private final Random random;
        private final int maxSockets;
        private final double reuseDelayMs;
        private final UpstreamPortAllocator allocator;
        private final List<Flow> openFlows = new ArrayList<>();
        private final Set<Flow> assigned = new HashSet<>();
        private final Map<Flow, Double> releasedMs = new HashMap<>();
        private final Map<Integer, Integer> flowsPerEndpoint = new HashMap<>();
        private int maxFlowsPerEndpoint;
        private double nowMs;

        RandomFlows(long seed) {
            random = new Random(seed);
            maxSockets = 1 + random.nextInt(12);
            reuseDelayMs = random.nextInt(3) * 50;
            allocator = new UpstreamPortAllocator(reuseDelayMs);
        }

        void step() {
            nowMs += random.nextInt(20);
            int endpoint = random.nextInt(ENDPOINTS);
            if (random.nextInt(3) > 0) {
                if (!open(endpoint)) {
                    return;
                }
            } else if (!openFlows.isEmpty()) {
                release(openFlows.remove(random.nextInt(openFlows.size())));
            }
            if (random.nextInt(10) == 0) {
                closeUnused();
            }
            if (reuseDelayMs == 0) {
                assertTrue(
                        allocator.socketCount() <= Math.max(1, maxFlowsPerEndpoint),
                        "more sockets than flows at the endpoint with the most");
            }
        }

        private boolean open(int endpoint) {
            int socketsBefore = allocator.socketCount();
            int socket = allocator.acquire(address(endpoint), nowMs, () -> allocator.socketCount() < maxSockets);
            if (socket < 0) {
                assertTrue(
                        flowsPerEndpoint.getOrDefault(endpoint, 0) >= socketsBefore,
                        "there was a socket without a flow of this endpoint");
                return false;
            }
            Flow flow = new Flow(endpoint, socket);
            assertTrue(assigned.add(flow), "two flows of an endpoint on one socket");
            assertTrue(allocator.socketCount() <= maxSockets);
            Double sinceMs = releasedMs.remove(flow);
            if (sinceMs != null && nowMs - sinceMs < reuseDelayMs) {
                assertEquals(maxSockets, socketsBefore, "reused too early though another socket could be opened");
            }
            openFlows.add(flow);
            maxFlowsPerEndpoint = Math.max(maxFlowsPerEndpoint, flowsPerEndpoint.merge(endpoint, 1, Integer::sum));
            return true;
        }

        private void release(Flow flow) {
            assigned.remove(flow);
            releasedMs.put(flow, nowMs);
            allocator.release(address(flow.endpoint), flow.socket, nowMs);
            flowsPerEndpoint.merge(flow.endpoint, -1, Integer::sum);
        }

        private void closeUnused() {
            for (int closed : allocator.closeUnused(nowMs)) {
                assertFalse(openFlows.stream().anyMatch(flow -> flow.socket == closed), "a socket in use was closed");
                releasedMs.keySet().removeIf(flow -> flow.socket == closed);
            }
        }

        void releaseAll() {
            for (Flow flow : openFlows) {
                allocator.release(address(flow.endpoint), flow.socket, nowMs);
            }
            allocator.closeUnused(nowMs + reuseDelayMs);
        }
    }

    @Property(tries = 300, seed = "91")
    void noTwoFlowsOfAnEndpointShareASocket(@ForAll long seed) {
        RandomFlows flows = new RandomFlows(seed);
        for (int i = 0; i < STEPS; i++) {
            flows.step();
        }
        flows.releaseAll();
        assertTrue(flows.allocator.socketCount() <= 1, "all but one are closed once no flow is open");
        assertEquals(0, flows.allocator.endpointCount(), "nothing is remembered of endpoints without flows");
    }

    /** 2,000 connections over 20 endpoints need 100 sockets, not 2,000. */
    @Test
    void socketsFollowTheEndpointWithTheMostFlows() {
        UpstreamPortAllocator allocator = new UpstreamPortAllocator(1000);
        for (int i = 0; i < 2000; i++) {
            allocator.acquire(address(i % 20), 0, () -> true);
        }
        assertEquals(100, allocator.socketCount());
    }
}
