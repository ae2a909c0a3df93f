package tulipshed.simadapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import tulipshed.config.MalformedInputException;
import tulipshed.decision.api.BalancerActions;
import tulipshed.decision.api.BalancerApi;
import tulipshed.decision.api.BalancerSettings;

/**
 * Connects instances of the decision module to the simulator: reads batches of events, dispatches each event to its
 * instance, and writes one reply per batch. Confined to one thread.
 */
public final class Adapter {
    /** Exit code if the input ended after a complete batch. */
    private static final int EXIT_OK = 0;

    /** Exit code if the input was malformed or could not be read, or a reply could not be written. */
    private static final int EXIT_MALFORMED_INPUT = 2;

    /** Exit code if the line that reports such an error could not be written either. */
    private static final int EXIT_ERROR_NOT_REPORTED = 3;

    private final JsonParser parser;
    private final ReplyWriter replies;
    private final Instances instances;

    /** Creates instances of the decision module. */
    public interface Factory {
        /**
         * Creates one instance.
         *
         * @param nowUs the time of the batch, in microseconds
         * @param actions receives the actions of the instance
         */
        BalancerApi create(BalancerSettings settings, long seed, long nowUs, BalancerActions actions);
    }

    Adapter(InputStream in, OutputStream out, Factory factory) throws IOException {
        parser = new JsonFactory().createParser(in);
        replies = new ReplyWriter(out);
        instances = new Instances(factory, replies);
    }

    /**
     * Processes all batches.
     *
     * @param err receives one line for exit code 2
     * @return the exit code: 0 at the end of the input, 2 if it is malformed or cannot be read or a reply cannot be
     *     written, 3 if writing to {@code err} failed as well
     */
    public static int run(InputStream in, OutputStream out, OutputStream err, Factory factory) {
        try {
            new Adapter(in, out, factory).processBatches();
            return EXIT_OK;
        } catch (JsonProcessingException e) {
            return reportMalformedInput(e.getOriginalMessage(), err);
        } catch (IOException | MalformedInputException e) {
            return reportMalformedInput(e.getMessage(), err);
        }
    }

    private static int reportMalformedInput(String reason, OutputStream err) {
        String line = "tulipshed: malformed input: " + String.valueOf(reason).replaceAll("\\s+", " ") + "\n";
        try {
            err.write(line.getBytes(StandardCharsets.UTF_8));
            err.flush();
            return EXIT_MALFORMED_INPUT;
        } catch (IOException e) {
            return EXIT_ERROR_NOT_REPORTED;
        }
    }

    private void processBatches() throws IOException {
        for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
            WireEvent start = WireEvent.read(parser, token);
            if (start.type() != EventType.BATCH_START) {
                throw new MalformedInputException("expected Batch, got " + start.typeName());
            }
            if (!start.hasTimeAndFrame()) {
                throw new MalformedInputException("Batch without TimeS or frame");
            }
            processEvents(start.timeUs());
            replies.endBatch(start.frame());
        }
    }

    private void processEvents(long nowUs) throws IOException {
        for (WireEvent event = nextEvent(); event.type() != EventType.BATCH_END; event = nextEvent()) {
            if (event.instance() == null) {
                throw new MalformedInputException("event without Who: " + event.typeName());
            }
            replies.selectInstance(event.instance());
            try {
                instances.dispatch(event, nowUs);
            } catch (MalformedInputException e) {
                throw e;
            } catch (RuntimeException e) {
                // An exception of the decision module is reported in the reply; the other instances continue.
                replies.writeException(e.toString());
            }
        }
    }

    private WireEvent nextEvent() throws IOException {
        JsonToken token = parser.nextToken();
        if (token == null) {
            throw new MalformedInputException("input ends within a batch");
        }
        return WireEvent.read(parser, token);
    }
}
