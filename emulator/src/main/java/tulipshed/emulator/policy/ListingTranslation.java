package tulipshed.emulator.policy;

import tulipshed.decision.api.EndpointInfo;
import tulipshed.discovery.ListedEndpoint;
import tulipshed.proxy.EndpointListEntry;
import tulipshed.time.WallTime;

/** Translates the emulated discovery's listings into those that a node's network code reads. */
final class ListingTranslation {
    /** Wall time of the beginning of the run, in milliseconds since the epoch. */
    private static final long START_EPOCH_MS = 1_700_000_000_000L;

    private ListingTranslation() {}

    /** The listing as discovery sends it: the start is a wall time on the clock of the endpoint's machine. */
    static ListedEndpoint withWallTimeStart(EndpointListing listing) {
        EndpointInfo info = listing.entry().info();
        WallTime started = info.startedUs() == 0
                ? ListedEndpoint.LONG_AGO
                : new WallTime(START_EPOCH_MS + Math.round(info.startedUs() / 1000.0 + listing.clockOffsetMs()));
        return new ListedEndpoint(
                info.id(),
                info.status(),
                info.zone(),
                info.cell(),
                info.machineType(),
                info.weight(),
                started,
                listing.entry().address());
    }

    /** The listing as a node would take it that mistakes the endpoint's clock for its own. */
    static EndpointListEntry withStampedStart(EndpointListing listing) {
        EndpointInfo info = listing.entry().info();
        long startedUs =
                info.startedUs() == 0 ? 0 : info.startedUs() + SettingsFactory.toMicros(listing.clockOffsetMs());
        return new EndpointListEntry(
                new EndpointInfo(
                        info.id(),
                        info.status(),
                        info.zone(),
                        info.cell(),
                        info.machineType(),
                        info.weight(),
                        startedUs),
                listing.entry().address());
    }
}
