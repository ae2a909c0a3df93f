; How service and the cold rule change with the number of nodes: the same load for each node, member and client.
(scenario "../scenarios/herd.sexp" "../scenarios/deploy.sexp" "../scenarios/dark-list.sexp")
(vary policy module least-of-two)
(vary scale 1 10 100)
(seeds 6)
