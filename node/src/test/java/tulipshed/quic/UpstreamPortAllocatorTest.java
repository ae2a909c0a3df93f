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

/** Which socket a flow uses: never one that another flow of the same member uses, as that would mix up their clients. */
class UpstreamPortAllocatorTest {
    private record Flow(int member, int slot) {}

    private static InetSocketAddress endpoint(int number) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 1 + number);
    }

    @Property(tries = 300, seed = "91")
    void noTwoFlowsOfAMemberShareASocket(@ForAll long seed) {
        Random random = new Random(seed);
        int most = 1 + random.nextInt(12);
        double quietMs = random.nextInt(3) * 50;
        UpstreamPortAllocator allocator = new UpstreamPortAllocator(quietMs);
        List<Flow> live = new ArrayList<>();
        Set<Flow> taken = new HashSet<>();
        Map<Flow, Double> left = new HashMap<>();
        Map<Integer, Integer> perMember = new HashMap<>();
        int fullest = 0;
        double nowMs = 0;
        for (int i = 0; i < 400; i++) {
            nowMs += random.nextInt(20);
            int member = random.nextInt(4);
            if (random.nextInt(3) > 0) {
                int before = allocator.socketCount();
                int slot = allocator.acquire(endpoint(member), nowMs, () -> allocator.socketCount() < most);
                if (slot < 0) {
                    assertTrue(perMember.getOrDefault(member, 0) >= before, "there was a socket without this member");
                    continue;
                }
                Flow flow = new Flow(member, slot);
                assertTrue(taken.add(flow), "two flows of a member on one socket");
                assertTrue(allocator.socketCount() <= most);
                Double since = left.remove(flow);
                if (since != null && nowMs - since < quietMs) {
                    assertEquals(most, before, "used again too early though there was room for another socket");
                }
                live.add(flow);
                fullest = Math.max(fullest, perMember.merge(member, 1, Integer::sum));
            } else if (!live.isEmpty()) {
                Flow flow = live.remove(random.nextInt(live.size()));
                taken.remove(flow);
                left.put(flow, nowMs);
                allocator.release(endpoint(flow.member), flow.slot, nowMs);
                perMember.merge(flow.member, -1, Integer::sum);
            }
            if (random.nextInt(10) == 0) {
                for (int closed : allocator.closeUnused(nowMs)) {
                    assertFalse(live.stream().anyMatch(f -> f.slot == closed), "a socket in use was closed");
                    left.keySet().removeIf(f -> f.slot == closed);
                }
            }
            if (quietMs == 0) {
                assertTrue(
                        allocator.socketCount() <= Math.max(1, fullest),
                        "more sockets than flows at the fullest member");
            }
        }
        for (Flow f : live) {
            allocator.release(endpoint(f.member), f.slot, nowMs);
        }
        allocator.closeUnused(nowMs + quietMs);
        assertTrue(allocator.socketCount() <= 1, "all but one are closed once nobody needs them");
        assertEquals(0, allocator.endpointCount(), "nothing is kept of members without flows");
    }

    /** 2,000 connections over 20 members need 100 sockets, not 2,000. */
    @Test
    void socketsFollowTheFullestMember() {
        UpstreamPortAllocator allocator = new UpstreamPortAllocator(1000);
        for (int i = 0; i < 2000; i++) {
            allocator.acquire(endpoint(i % 20), 0, () -> true);
        }
        assertEquals(100, allocator.socketCount());
    }
}
