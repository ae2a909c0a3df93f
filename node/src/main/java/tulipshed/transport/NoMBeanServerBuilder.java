package tulipshed.transport;

import javax.management.JMRuntimeException;
import javax.management.MBeanServer;
import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * MBean server builder that refuses to build a server. XNIO registers MBeans at startup, which are not used here, and
 * continues without them if that fails. The platform's MBean server, with everything that it registers, would take a
 * quarter of the CPU time of startup.
 *
 * <p>Public with a public constructor, as the platform instantiates it by name. A builder named on the command line
 * takes precedence.
 */
public final class NoMBeanServerBuilder extends MBeanServerBuilder {
    /** System property that names the builder, see {@link javax.management.MBeanServerFactory}. */
    private static final String BUILDER_PROPERTY = "javax.management.builder.initial";

    /** Makes the platform use this builder in this process, unless another one is configured. */
    static void install() {
        if (System.getProperty(BUILDER_PROPERTY) == null) {
            System.setProperty(BUILDER_PROPERTY, NoMBeanServerBuilder.class.getName());
        }
    }

    /**
     * Always fails.
     *
     * @throws JMRuntimeException always
     */
    @Override
    public MBeanServer newMBeanServer(String defaultDomain, MBeanServer outer, MBeanServerDelegate delegate) {
        throw new JMRuntimeException("MBean server disabled in this process");
    }
}
