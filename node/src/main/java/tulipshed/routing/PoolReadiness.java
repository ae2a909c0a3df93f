package tulipshed.routing;

/** The number and share of ready endpoints of each pool. */
interface PoolReadiness {
    /** Returns the number of endpoints of the pool that are ready, which means that they may be sent a request now. */
    int readyCount(String pool);

    /** Returns the share of the endpoints of the pool that are ready, from 0 to 1; 0 for an empty pool. */
    double readyShare(String pool);
}
