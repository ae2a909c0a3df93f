; The three kinds of day of a large fleet, with the same members and clients spread over ever more nodes.
(scenario "../scenarios/fleet-herd.sexp" "../scenarios/fleet-zone.sexp" "../scenarios/fleet-join.sexp")
(vary nodes.count 5 14 50)
(seeds 24)
