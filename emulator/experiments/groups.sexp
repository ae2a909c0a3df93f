; What groups cost as nodes grow: the same days with and without the work that a group's connections share.
(scenario "../scenarios/calm.sexp" "../scenarios/herd.sexp")
(vary policy module)
(vary scale 1 10 100)
(vary member-model.group-load 0.0 0.079)
(seeds 6)
