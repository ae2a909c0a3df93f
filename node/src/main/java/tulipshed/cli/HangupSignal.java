package tulipshed.cli;

import java.lang.reflect.Proxy;

/**
 * The handler of SIGHUP, the signal to reload the configuration.
 *
 * <p>The only interface of the platform to signals is {@code sun.misc.Signal} in the module {@code jdk.unsupported}. It
 * is used by reflection because the compiler warns about each use and no annotation suppresses that warning.
 */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Calls {@code reload} at each SIGHUP, on a thread of the virtual machine; without a handler the process would
     * exit.
     *
     * @return whether the signal can arrive; false if the parent process ignores it, as {@code nohup} does, since the
     *     virtual machine then keeps it ignored
     */
    static boolean handle(Runnable reload) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object ignoreHandler = handler.getField("SIG_IGN").get(null);
            Object hangup = signal.getConstructor(String.class).newInstance("HUP");
            Object proxy = Proxy.newProxyInstance(
                    HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        reload.run();
                        return null;
                    });
            Object previousHandler = signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
            return previousHandler != ignoreHandler;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("sun.misc.Signal is not available in this virtual machine", e);
        }
    }
}
