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

/**
 * Writes the metrics of a node as one JSON object, the body of {@code /status/metrics}. The JSON keys are the external
 * names of the metrics; those of the frontend counters are the keys of {@link NodeMetrics#frontendCounters()}.
 */
final class MetricsWriter {
    private static final JsonFactory FACTORY = new JsonFactory();

    private MetricsWriter() {}

    /** The current metrics as JSON in UTF-8. */
    static byte[] json(ProxyCore core) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = FACTORY.createGenerator(out)) {
            NodeMetrics metrics = core.metrics();
            json.writeStartObject();
            writeResponses(json, metrics);
            writeCounters(json, core, metrics);
            writeFrontendCounters(json, metrics);
            if (core.hasRoutes()) {
                json.writeNumberField("routes_spilled", core.spilledRoutes());
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory", e);
        }
        return out.toByteArray();
    }

    /** The final responses to clients, by request class. */
    private static void writeResponses(JsonGenerator json, NodeMetrics metrics) throws IOException {
        json.writeObjectFieldStart("replies");
        for (Map.Entry<String, NodeMetrics.ResponseCounts> entry :
                metrics.responses().entrySet()) {
            NodeMetrics.ResponseCounts counts = entry.getValue();
            json.writeObjectFieldStart(entry.getKey());
            json.writeNumberField("success", counts.established());
            json.writeNumberField("overload", counts.rejected());
            json.writeNumberField("error", counts.failed());
            json.writeEndObject();
        }
        json.writeEndObject();
    }

    private static void writeCounters(JsonGenerator json, ProxyCore core, NodeMetrics metrics) throws IOException {
        json.writeNumberField("concurrent", metrics.activeRequests());
        json.writeNumberField("dispatches", metrics.forwardedAttempts());
        json.writeNumberField("targets", core.listedEndpoints());
        json.writeNumberField("targets_disabled", core.ineligibleEndpoints());
        json.writeNumberField("reload_success", metrics.reloadsApplied());
        json.writeNumberField("reload_failure", metrics.reloadsRejected());
    }

    private static void writeFrontendCounters(JsonGenerator json, NodeMetrics metrics) throws IOException {
        for (Map.Entry<String, LongSupplier> entry : metrics.frontendCounters().entrySet()) {
            json.writeNumberField(entry.getKey(), entry.getValue().getAsLong());
        }
    }
}
