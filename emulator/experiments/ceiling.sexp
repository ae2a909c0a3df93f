; The ceiling: one who sees all. Looking at every member for every client, it is too slow for the largest size.
(scenario "../scenarios/herd.sexp" "../scenarios/deploy.sexp" "../scenarios/dark-list.sexp")
(vary policy clairvoyant)
(vary scale 1 10)
(seeds 6)
