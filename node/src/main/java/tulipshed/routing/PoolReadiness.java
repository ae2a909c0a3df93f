package tulipshed.routing;

/** How many endpoints of each pool are ready. */
interface PoolReadiness {
    /** Returns how many endpoints of the pool may be sent a request now. */
    int readyCount(String pool);

    /** Returns their share of the endpoints of the pool, from 0 to 1; 0 for an empty pool. */
    double readyShare(String pool);
}
