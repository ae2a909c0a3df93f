package tulipshed.simadapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import tulipshed.config.MalformedInputException;
import tulipshed.config.SettingsReader;
import tulipshed.decision.BalancerApi;
import tulipshed.decision.BalancerApi.Actions;
import tulipshed.decision.BalancerApi.Outcome;
import tulipshed.decision.BalancerApi.Settings;

/**
 * Hosts instances of the decision module behind the simulator's wire: reads batches of events, hands each
 * to its instance, writes one reply a batch. Decides nothing.
 */
public final class Adapter {
    private final JsonParser in;
    private final ReplyWriter out;
    private final Map<String, Instance> instances = new HashMap<>();
    private final WireEvent event = new WireEvent();
    private final Factory factory;

    /** Makes the module of one instance. */
    public interface Factory {
        BalancerApi create(Settings settings, long seed, long now, Actions actions);
    }

    /** One running balancer. */
    private record Instance(BalancerApi balancer, SettingsReader.NameIndex names) {}

    Adapter(InputStream in, OutputStream out, Factory factory) throws IOException {
        this.factory = factory;
        this.in = new JsonFactory().createParser(in);
        this.out = new ReplyWriter(out);
    }

    /** Plays all batches; the exit code is 0 at the end of the input, 2 where the input is malformed. */
    public static int run(InputStream in, OutputStream out, OutputStream err, Factory factory) {
        try {
            new Adapter(in, out, factory).loop();
            return 0;
        } catch (IOException | MalformedInputException e) {
            String what = e instanceof JsonProcessingException j ? j.getOriginalMessage() : e.getMessage();
            String line = "tulipshed: malformed input: " + String.valueOf(what).replaceAll("\\s+", " ") + "\n";
            try {
                err.write(line.getBytes(StandardCharsets.UTF_8));
                err.flush();
            } catch (IOException unwritable) {
                return 3;
            }
            return 2;
        }
    }

    private void loop() throws IOException {
        while (true) {
            JsonToken token = in.nextToken();
            if (token == null) {
                return;
            }
            event.read(in, token);
            if (!"Batch".equals(event.cmd)) {
                throw new MalformedInputException("expected Batch, got " + event.cmd);
            }
            if (Double.isNaN(event.timeS) || event.frame < 0) {
                throw new MalformedInputException("a Batch without TimeS or frame");
            }
            long now = Math.round(event.timeS * 1e6);
            long frame = event.frame;
            batch(now);
            out.done(frame);
        }
    }

    private void batch(long now) throws IOException {
        while (true) {
            JsonToken token = in.nextToken();
            if (token == null) {
                throw new MalformedInputException("input ends inside a batch");
            }
            event.read(in, token);
            if ("Eob".equals(event.cmd)) {
                return;
            }
            if (event.who == null) {
                throw new MalformedInputException("an event without Who: " + event.cmd);
            }
            out.instance(event.who);
            try {
                dispatch(now);
            } catch (MalformedInputException e) {
                throw e;
            } catch (RuntimeException e) {
                out.exception(e.toString());
            }
        }
    }

    private void dispatch(long now) {
        if ("Provision".equals(event.cmd)) {
            if (event.settings == null) {
                throw new MalformedInputException("Provision without Settings");
            }
            SettingsReader.NameIndex names = new SettingsReader.NameIndex();
            Settings settings = SettingsReader.read(event.settings, names);
            instances.put(event.who, new Instance(factory.create(settings, event.seed, now, out), names));
            return;
        }
        Instance instance = instances.get(event.who);
        if (instance == null) {
            throw new MalformedInputException(event.cmd + " for an instance that was not provisioned: " + event.who);
        }
        BalancerApi b = instance.balancer;
        switch (event.cmd) {
            case "Detach" -> instances.remove(event.who);
            case "PeersKnown" -> b.endpointsChanged(now, event.listKind(), event.servers);
            case "Incoming" -> b.requestArrived(now, event.newRequest(instance.names));
            case "Open" -> b.connectionAdopted(now, event.newRequest(instance.names), event.server());
            case "Started" -> b.attemptEstablished(now, event.id(), event.leg, event.tookUs);
            case "Notice" -> {
                if (event.sort == 1) {
                    b.loadReported(now, event.id(), event.value);
                } else if (event.sort == 2) {
                    b.latencyReported(now, event.id(), event.value);
                }
            }
            case "Finished" -> {
                Outcome outcome = event.outcome();
                b.attemptEnded(now, event.id(), event.leg, event.noMore, outcome, event.report());
            }
            case "Abandoned" -> b.requestCancelled(now, event.id());
            case "Checked" -> b.healthCheckCompleted(now, event.server(), event.outcome(), event.report());
            case "TickDue" -> b.timerFired(now, event.label);
            case "NoteFrom" -> b.peerMessageReceived(now, event.srcPeer, event.body);
            default -> throw new MalformedInputException("unknown event " + event.cmd);
        }
    }
}
