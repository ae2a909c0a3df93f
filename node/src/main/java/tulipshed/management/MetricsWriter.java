package tulipshed.management;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.function.LongSupplier;
import tulipshed.proxy.NodeMetrics;
import tulipshed.proxy.ProxyCore;

/** Writes the figures of a node as one JSON object. */
final class MetricsWriter {
    private static final JsonFactory FACTORY = new JsonFactory();

    private MetricsWriter() {}

    static byte[] json(ProxyCore core) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = FACTORY.createGenerator(out)) {
            NodeMetrics figures = core.metrics();
            json.writeStartObject();
            json.writeObjectFieldStart("replies");
            for (Map.Entry<String, NodeMetrics.ResponseCounts> entry :
                    figures.responses().entrySet()) {
                json.writeObjectFieldStart(entry.getKey());
                json.writeNumberField("success", entry.getValue().established());
                json.writeNumberField("overload", entry.getValue().rejected());
                json.writeNumberField("error", entry.getValue().failed());
                json.writeEndObject();
            }
            json.writeEndObject();
            json.writeNumberField("concurrent", figures.activeRequests());
            json.writeNumberField("dispatches", figures.forwardedAttempts());
            json.writeNumberField("targets", core.listedEndpoints());
            json.writeNumberField("targets_disabled", core.ineligibleEndpoints());
            json.writeNumberField("reload_success", figures.reloadsApplied());
            json.writeNumberField("reload_failure", figures.reloadsRejected());
            for (Map.Entry<String, LongSupplier> entry :
                    figures.frontendCounters().entrySet()) {
                json.writeNumberField(entry.getKey(), entry.getValue().getAsLong());
            }
            if (core.hasRoutes()) {
                json.writeNumberField("routes_spilled", core.spilledRoutes());
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
