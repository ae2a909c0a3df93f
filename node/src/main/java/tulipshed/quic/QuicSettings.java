package tulipshed.quic;

import tulipshed.config.NameIndex;
import tulipshed.connectionid.ConnectionId;
import tulipshed.proxy.RequestParameters;

/** The settings of the frontend as of the last reload. Open connections keep what they were opened with. */
final class QuicSettings {
    private static final Integer NO_TENANT = -1;

    private QuicConfig config;
    private NameIndex names;

    /** The settings at the start. */
    QuicSettings(QuicConfig config, NameIndex names) {
        this.config = config;
        this.names = names;
    }

    /** The section of the operators' file. */
    QuicConfig config() {
        return config;
    }

    /** Replaces the section of the operators' file. */
    void update(QuicConfig changed) {
        config = changed;
    }

    /** Replaces the names of request classes and tenants. */
    void update(NameIndex changed) {
        names = changed;
    }

    /** Where a connection ID leads, or null. */
    ConnectionIdRoute route(ConnectionId id) {
        return config.ids().route(id);
    }

    /** The parameters of a new request; null where the configured class or tenant does not exist. */
    RequestParameters requestParameters(String key) {
        Integer requestClass = names.classIndex(config.requestClass());
        Integer tenant = config.tenant() == null ? NO_TENANT : names.tenantIndex(config.tenant());
        return requestClass == null || tenant == null
                ? null
                : new RequestParameters(requestClass, tenant, key, null, config.deadlineMs(), 0, false, false);
    }

    /** Whether the configured class and tenant exist, so that connections can be opened. */
    boolean hasRequestParameters() {
        return requestParameters("") != null;
    }
}
