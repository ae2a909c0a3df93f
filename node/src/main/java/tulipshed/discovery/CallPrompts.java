package tulipshed.discovery;

/**
 * Who caused the calls to discovery: the decision module, by a prompt, or the watch itself. Each failure that is reported
 * leads to one prompt, so a failure is not reported where a prompt that is still to come repeats its call too. Confined to
 * the event-loop thread.
 */
final class CallPrompts {
    /** How many reported failures the decision module has not met with a prompt yet. */
    private int awaited;

    /** Whether a prompt caused the last call. */
    private boolean isCallPrompted;

    /** The decision module prompts a call. */
    void arrived() {
        awaited = Math.max(0, awaited - 1);
    }

    /** A call starts. */
    void callStarts(boolean byPrompt) {
        isCallPrompted = byPrompt;
    }

    /** Whether a prompt that is still to come repeats the last call, which an earlier prompt caused. */
    boolean willRepeatLastCall() {
        return isCallPrompted && awaited > 0;
    }

    /** A failure is reported, which leads to a prompt. */
    void failureReported() {
        awaited++;
    }

    /** The prompts to come are of no concern any more. */
    void forget() {
        awaited = 0;
    }
}
