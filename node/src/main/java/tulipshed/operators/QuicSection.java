package tulipshed.operators;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tulipshed.config.NameIndex;
import tulipshed.connectionid.ServerIds;
import tulipshed.sexpr.Diagnostics;
import tulipshed.sexpr.Form;

/**
 * What the operators' file says of the second front: where it listens, what a connection asks for unless rules say
 * otherwise, the configurations of ids, and the keys shared with the servers.
 *
 * @param preferred a second address to which servers may tell their clients to go, or null
 * @param deadlineMs how long a client waits, in milliseconds
 * @param retry null where no client is asked to prove its address
 */
public record QuicSection(
        InetSocketAddress listen,
        InetSocketAddress preferred,
        String requestClass,
        String tenant,
        double deadlineMs,
        List<Ids> ids,
        byte[] resetKey,
        Retry retry) {
    private static final Set<String> FIELDS = new LinkedHashSet<>(
            List.of("listen", "preferred-address", "class", "tenant", "deadline-ms", "reset-key", "retry", "ids"));
    private static final Set<String> IDS_FIELDS = new LinkedHashSet<>(
            List.of("configuration", "server-id-bytes", "nonce-bytes", "connection-bytes", "key", "servers"));
    private static final Set<String> RETRY_FIELDS =
            new LinkedHashSet<>(List.of("use", "expires-ms", "on", "off", "stay-ms", "key"));
    private static final int KEY_BYTES = 16;
    private static final int LONGEST_DEADLINE_MS = 120_000;
    private static final int MOST_WAITING = 100_000;

    /**
     * One configuration of ids (QUIC-LB section 3).
     *
     * @param connectionBytes of the nonce that hold the server's number of the connection; 0 where none do
     * @param key null where server ids stand in the open
     * @param servers the ids of members by their server ids in hexadecimal
     */
    public record Ids(
            int configuration,
            int serverIdBytes,
            int nonceBytes,
            int connectionBytes,
            byte[] key,
            Map<String, String> servers) {}

    /**
     * When clients must prove their address, and with which keys.
     *
     * @param keys by their numbers
     * @param use the number of the key that seals
     * @param expiresMs how long a token holds, in milliseconds
     * @param on connections without proof from which on it is asked for
     * @param off until there are no more than these
     * @param stayMs and so long at least, in milliseconds
     */
    public record Retry(Map<Integer, byte[]> keys, int use, double expiresMs, int on, int off, double stayMs) {}

    /** Reads {@code (quic ...)}; null where something is wrong, which is noted. */
    static QuicSection read(Form.Sequence section, NameIndex names, Diagnostics problems) {
        int before = problems.count();
        List<Form> others = new ArrayList<>();
        List<Ids> ids = new ArrayList<>();
        Set<Integer> numbers = new LinkedHashSet<>();
        for (Form f : section.items()) {
            if (f instanceof Form.Sequence s && "ids".equals(s.head())) {
                Ids one = ids(s, problems);
                if (!numbers.add(one.configuration())) {
                    problems.add(s.place(), "configuration " + one.configuration() + " stands twice");
                }
                ids.add(one);
            } else {
                others.add(f);
            }
        }
        if (ids.isEmpty()) {
            problems.add(section.place(), "expected (ids ...) in (quic ...)");
        }
        SectionFields f = new SectionFields(new Form.Sequence(others, false, section.place()), 1, FIELDS, problems);
        InetSocketAddress listen = f.address("listen");
        InetSocketAddress preferred = f.has("preferred-address") ? f.address("preferred-address") : null;
        String requestClass = f.oneOf("class", names.classNames());
        String tenant =
                names.tenantNames().isEmpty() && !f.has("tenant") ? null : f.oneOf("tenant", names.tenantNames());
        double deadlineMs = f.whole("deadline-ms", 1, LONGEST_DEADLINE_MS, 1);
        byte[] resetKey = f.hex("reset-key");
        if (resetKey != null && resetKey.length < KEY_BYTES) {
            problems.add(
                    f.place("reset-key"),
                    "expected a reset-key of " + KEY_BYTES + " bytes at least, found " + resetKey.length);
        }
        Retry retry = f.has("retry") ? retry(f.get("retry"), problems) : null;
        return problems.count() > before
                ? null
                : new QuicSection(
                        listen, preferred, requestClass, tenant, deadlineMs, List.copyOf(ids), resetKey, retry);
    }

    private static Ids ids(Form.Sequence s, Diagnostics problems) {
        SectionFields f = new SectionFields(s, 1, IDS_FIELDS, problems);
        int configuration = (int) f.whole("configuration", 0, 6, 0);
        // QUIC-LB section 5: a server id of 1 to 15 bytes, a nonce of 4 to 18, 19 together at most.
        int serverBytes = (int) f.whole("server-id-bytes", 1, 15, 1);
        int nonceBytes = (int) f.whole("nonce-bytes", 4, 18, 4);
        if (serverBytes + nonceBytes > 19) {
            problems.add(
                    f.place("nonce-bytes"),
                    "expected server-id-bytes and nonce-bytes of 19 together at most, found "
                            + (serverBytes + nonceBytes));
        }
        int connectionBytes =
                f.has("connection-bytes") ? (int) f.whole("connection-bytes", 2, ServerIds.LONGEST_NUMBER, 2) : 0;
        if (connectionBytes > 0 && (connectionBytes >= nonceBytes || !f.has("key"))) {
            problems.add(
                    f.place("connection-bytes"),
                    "expected fewer connection-bytes than nonce-bytes, and a key: "
                            + "in the clear observers could follow a client from network to network");
        }
        byte[] key = f.has("key") ? key(f.hex("key"), f.value("key"), problems) : null;
        Map<String, String> servers = new HashMap<>();
        for (Form item : f.items("servers")) {
            if (!(item instanceof Form.Sequence one)
                    || one.square()
                    || one.items().size() != 2
                    || !(one.items().get(0) instanceof Form.Text member)
                    || !(one.items().get(1) instanceof Form.Text id)) {
                problems.add(item.place(), "expected (\"MEMBER\" \"SERVER ID\"), found " + item.describe());
                continue;
            }
            byte[] bytes = SectionFields.hex(id.value(), id.place(), problems);
            if (bytes != null && bytes.length != serverBytes) {
                problems.add(id.place(), "expected a server id of " + serverBytes + " bytes, found " + bytes.length);
            } else if (bytes != null && servers.put(HexFormat.of().formatHex(bytes), member.value()) != null) {
                problems.add(id.place(), "this server id stands twice");
            }
        }
        return new Ids(configuration, serverBytes, nonceBytes, connectionBytes, key, servers);
    }

    private static byte[] key(byte[] key, Form at, Diagnostics problems) {
        if (key != null && key.length != KEY_BYTES) {
            problems.add(at.place(), "expected a key of " + KEY_BYTES + " bytes, found " + key.length);
        }
        return key;
    }

    /** {@code (retry (key NUMBER "HEX") ... (use NUMBER) (expires-ms N) (on N) (off N) (stay-ms N))}. */
    private static Retry retry(Form.Sequence section, Diagnostics problems) {
        Map<Integer, byte[]> keys = new TreeMap<>();
        List<Form> others = new ArrayList<>();
        for (Form f : section.items()) {
            if (!(f instanceof Form.Sequence s) || !"key".equals(s.head())) {
                others.add(f);
            } else if (s.items().size() != 3
                    || !(s.items().get(1) instanceof Form.Whole n)
                    || n.value() < 0
                    || n.value() > 255
                    || !(s.items().get(2) instanceof Form.Text text)) {
                problems.add(s.place(), "expected (key NUMBER \"HEX\") with a number from 0 to 255");
            } else if (keys.put(
                            (int) n.value(),
                            key(SectionFields.hex(text.value(), text.place(), problems), text, problems))
                    != null) {
                problems.add(s.place(), "key " + n.value() + " stands twice");
            }
        }
        SectionFields f =
                new SectionFields(new Form.Sequence(others, false, section.place()), 1, RETRY_FIELDS, problems);
        int use = (int) f.whole("use", 0, 255, 0);
        if (!keys.containsKey(use)) {
            problems.add(f.place("use"), "there is no (key " + use + " ...)");
        }
        double expiresMs = f.whole("expires-ms", 100, 600_000, 100);
        int on = (int) f.whole("on", 1, MOST_WAITING, 1);
        int off = (int) f.whole("off", 0, MOST_WAITING, 0);
        if (off >= on) {
            problems.add(f.place("off"), "expected off below on, which is " + on);
        }
        return new Retry(keys, use, expiresMs, on, off, f.has("stay-ms") ? f.whole("stay-ms", 0, 600_000, 0) : 1000);
    }
}
