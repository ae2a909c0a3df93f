package tulipshed.lineprotocol;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import tulipshed.config.NameIndex;
import tulipshed.proxy.Request.Attributes;
import tulipshed.routing.Declarations;

/**
 * A client's first line: {@code OPEN ID KEY name=value,...}. Keeps the text as it came, so that it can go on
 * to a member unchanged but for the time that the node will wait.
 */
final class OpenCommand {
    private static final String END = "\r\n";
    private final String text;
    private final String id;
    private final int waitFrom;
    private final int waitTo;
    private final Attributes arrival;
    private final String at;
    private final Map<String, Object> figures;

    private OpenCommand(
            String text,
            String id,
            int waitFrom,
            int waitTo,
            Attributes arrival,
            String at,
            Map<String, Object> figures) {
        this.figures = figures;
        this.text = text;
        this.id = id;
        this.waitFrom = waitFrom;
        this.waitTo = waitTo;
        this.arrival = arrival;
        this.at = at;
    }

    /** Reads one whole line; anything that a client would not send in this form is a {@link MalformedLineException}. */
    static OpenCommand parse(byte[] line, NameIndex names, Declarations declared, double longestWaitMs) {
        String text = new String(line, StandardCharsets.ISO_8859_1);
        if (!text.endsWith(END)) {
            throw new MalformedLineException("a line that does not end with CRLF");
        }
        for (int i = 0; i < text.length() - END.length(); i++) {
            if (text.charAt(i) < ' ' || text.charAt(i) > '~') {
                throw new MalformedLineException("a character that is not printable ASCII");
            }
        }
        String[] words = text.substring(0, text.length() - END.length()).split(" ", -1);
        if (words.length != 4 || !words[0].equals("OPEN") || words[1].isEmpty() || words[2].isEmpty()) {
            throw new MalformedLineException("not of the form OPEN ID KEY NAMES");
        }
        return new Reader(text, words, names, declared, longestWaitMs).read();
    }

    /** What the client calls this connection, and no other that is open. */
    String id() {
        return id;
    }

    /** What the client asks for. */
    Attributes arrival() {
        return arrival;
    }

    /** The declared further figures that it carries. */
    Map<String, Object> figures() {
        return figures;
    }

    /** The member at which this connection stood before, or null. */
    String at() {
        return at;
    }

    /** The line as it goes on to a member that is told how long the node will wait. */
    byte[] onward(double waitMs) {
        long wait = Math.max(1, (long) Math.floor(waitMs));
        return (text.substring(0, waitFrom) + wait + text.substring(waitTo)).getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Takes the names and values apart. */
    private static final class Reader {
        private final String text;
        private final String[] words;
        private final NameIndex names;
        private final Declarations declared;
        private final double longestWaitMs;
        private final Set<String> seen = new HashSet<>();
        private int requestClass = -1;
        private int tenant = -1;
        private double waitMs = -1;
        private int waitFrom;
        private int waitTo;
        private String group;
        private double hint;
        private boolean repeat;
        private boolean again;
        private String at;
        private Map<String, Object> figures = Map.of();

        Reader(String text, String[] words, NameIndex names, Declarations declared, double longestWaitMs) {
            this.declared = declared;
            this.text = text;
            this.words = words;
            this.names = names;
            this.longestWaitMs = longestWaitMs;
        }

        OpenCommand read() {
            int from = words[0].length() + words[1].length() + words[2].length() + 3;
            for (String pair : words[3].split(",", -1)) {
                int equals = pair.indexOf('=');
                if (equals <= 0 || equals == pair.length() - 1 || !seen.add(pair.substring(0, equals))) {
                    throw new MalformedLineException("a name without a value, or twice");
                }
                take(pair.substring(0, equals), pair.substring(equals + 1), from + equals + 1);
                from += pair.length() + 1;
            }
            if (requestClass < 0 || waitMs < 0) {
                throw new MalformedLineException("no class or no time to wait");
            }
            // One that stood before the node started may say how long it has lived or will: nothing waits for it.
            if (waitMs > longestWaitMs && at == null) {
                throw new MalformedLineException("a wait that is too long");
            }
            if (tenant < 0 && !names.tenantNames().isEmpty()) {
                throw new MalformedLineException("no tenant");
            }
            if (words[2].length() > declared.longestKey()
                    || (group != null && group.length() > declared.longestGroup())) {
                throw new MalformedLineException("a key or a group that is longer than declared");
            }
            Attributes arrival = new Attributes(requestClass, tenant, words[2], group, waitMs, hint, repeat, again);
            return new OpenCommand(text, words[1], waitFrom, waitTo, arrival, at, figures);
        }

        private void take(String name, String value, int from) {
            switch (name) {
                case "c" -> {
                    Integer known = names.classIndex(value);
                    if (known == null) {
                        throw new MalformedLineException("an unknown class");
                    }
                    requestClass = known;
                }
                case "t" -> {
                    Integer known = names.tenantIndex(value);
                    if (known == null) {
                        throw new MalformedLineException("an unknown tenant");
                    }
                    tenant = known;
                }
                case "d" -> {
                    waitMs = number(value);
                    waitFrom = from;
                    waitTo = from + value.length();
                }
                case "g" -> group = value;
                case "h" -> hint = number(value);
                case "r" -> repeat = value.equals("1");
                case "again" -> again = value.equals("1");
                case "at" -> at = value;
                default -> figure(name, value);
            }
        }

        /** A figure that the operators have declared is read; all others only go on. */
        private void figure(String name, String value) {
            if (declared.figures().containsKey(name)) {
                Object read = declared.read(name, value);
                if (read == null) {
                    throw new MalformedLineException("a figure that is not what was declared");
                }
                figures = figures.isEmpty() ? new HashMap<>() : figures;
                figures.put(name, read);
            }
        }

        private static double number(String value) {
            if (!value.matches("[0-9]{1,15}(\\.[0-9]{1,15})?")) {
                throw new MalformedLineException("a figure that is not a number");
            }
            return Double.parseDouble(value);
        }
    }
}
