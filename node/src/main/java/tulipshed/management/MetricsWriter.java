package tulipshed.management;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.function.LongSupplier;
import tulipshed.proxy.Figures;
import tulipshed.proxy.TransactionCore;

/** Writes the figures of a node as one JSON object. */
final class MetricsWriter {
    private static final JsonFactory FACTORY = new JsonFactory();

    private MetricsWriter() {}

    static byte[] json(TransactionCore core) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = FACTORY.createGenerator(out)) {
            Figures figures = core.figures();
            json.writeStartObject();
            json.writeObjectFieldStart("replies");
            for (Map.Entry<String, Figures.Replies> entry : figures.replies().entrySet()) {
                json.writeObjectFieldStart(entry.getKey());
                json.writeNumberField("success", entry.getValue().up());
                json.writeNumberField("overload", entry.getValue().rejected());
                json.writeNumberField("error", entry.getValue().failed());
                json.writeEndObject();
            }
            json.writeEndObject();
            json.writeNumberField("concurrent", figures.concurrent());
            json.writeNumberField("dispatches", figures.dispatches());
            json.writeNumberField("targets", core.targets());
            json.writeNumberField("targets_disabled", core.targetsAvoided());
            json.writeNumberField("reload_success", figures.reloadsTaken());
            json.writeNumberField("reload_failure", figures.reloadsTurnedDown());
            for (Map.Entry<String, LongSupplier> entry : figures.more().entrySet()) {
                json.writeNumberField(entry.getKey(), entry.getValue().getAsLong());
            }
            if (core.routes()) {
                json.writeNumberField("routes_spilled", core.routesSpilled());
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
