package tulipshed.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import org.junit.jupiter.api.Test;

/** The table of requests by id. */
class RequestTableTest {
    private final ProxyCoreFixture fixture = new ProxyCoreFixture();

    private final RequestTable table = new RequestTable();

    @Test
    void assignsEachIdOnce() {
        Request request = fixture.newRequest(2000, false);
        table.register(request);
        assertEquals(1, request.id());
        assertEquals(2, table.nextId());
        assertSame(request, table.find(1));
        assertNull(table.find(2));
    }

    @Test
    void keepsCompletedRequestWhileItsAttemptIsOpen() {
        Request request = fixture.newRequest(2000, false);
        table.register(request);
        request.setOpenAttempt(new Attempt(request, new Endpoint("s-1"), 0, 0, 2000));
        request.complete();
        table.removeIfFinished(request);
        assertSame(request, table.find(1));
        request.clearOpenAttempt();
        table.removeIfFinished(request);
        assertNull(table.find(1));
    }
}
