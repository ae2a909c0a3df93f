package tulipshed.transport;

import javax.management.JMRuntimeException;
import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Refuses to build an MBean server. XNIO registers MBeans at the start, which nobody reads here, and goes on without them
 * where that fails; the platform's MBean server with all that it registers takes a quarter of a start's processor time.
 *
 * <p>Public with a public constructor, as the platform creates it by name. A builder that the command line names stays in
 * use.
 */
public final class NoMBeanServerBuilder extends MBeanServerBuilder {
    /** The platform's property that names the builder, see {@link javax.management.MBeanServerFactory}. */
    private static final String BUILDER_PROPERTY = "javax.management.builder.initial";

    /** Has the platform use this builder in this process, unless another one is named. */
    static void install() {
        if (System.getProperty(BUILDER_PROPERTY) == null) {
            System.setProperty(BUILDER_PROPERTY, NoMBeanServerBuilder.class.getName());
        }
    }

    /**
     * Builds nothing.
     *
     * @throws JMRuntimeException always
     */
    @Override
    public MBeanServer newMBeanServer(String defaultDomain, MBeanServer outer, MBeanServerDelegate delegate) {
        throw new JMRuntimeException("this process has no MBean server");
    }
}
