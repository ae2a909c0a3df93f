package tulipshed.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import javax.management.MBeanServerFactory;
import org.junit.jupiter.api.Test;
import tulipshed.limits.Limits;

/** Guards against startup time spent on the platform's MBean server. */
class NoMBeanServerBuilderTest {
    private static final int DESCRIPTORS = 256;

    @Test
    void anEventLoopStartsWithoutAnMBeanServer() throws IOException {
        XnioEventLoop loop = new XnioEventLoop(Limits.forDescriptors(DESCRIPTORS));
        try {
            assertEquals(List.of(), MBeanServerFactory.findMBeanServer(null));
        } finally {
            loop.stop();
        }
    }
}
