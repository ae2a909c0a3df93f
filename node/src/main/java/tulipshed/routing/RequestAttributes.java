package tulipshed.routing;

/**
 * What is known of a transaction when it arrives, in the names of the settings; tenant and group are null where there is
 * none, the hint 0 where none was given; the wait is in milliseconds.
 */
public record RequestAttributes(
        String className,
        String tenant,
        String key,
        String group,
        double waitMs,
        double hint,
        boolean repeat,
        boolean returning,
        RequestOrigin origin) {

    /** The same with what rules made of it. */
    public RequestAttributes as(RequestClassification c) {
        return new RequestAttributes(
                c.className(), c.tenant(), key, c.group(), waitMs, hint, repeat, returning, origin);
    }
}
