package tulipshed.cli;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, which asks a node to reload its configuration.
 *
 * <p>The platform has no public interface to signals but {@code sun.misc.Signal} of the module {@code jdk.unsupported}.
 * It is used by reflection, as the compiler warns of each mention of it and no annotation suppresses that.
 */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Has {@code reload} called at each SIGHUP, on a thread of the virtual machine; without a handler the process would
     * exit.
     *
     * @return whether the signal can arrive: not where the parent process ignores it, as {@code nohup} does, since the
     *     virtual machine keeps it ignored
     */
    static boolean handle(Runnable reload) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object ignored = handler.getField("SIG_IGN").get(null);
            Object hangup = signal.getConstructor(String.class).newInstance("HUP");
            Object proxy = Proxy.newProxyInstance(
                    HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        reload.run();
                        return null;
                    });
            Object before = signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
            return before != ignored;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this virtual machine has no sun.misc.Signal", e);
        }
    }
}
