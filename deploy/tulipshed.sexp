; The operators' file of this deployment. It holds nothing: no rules, no pools, no routes, no second front.
; What may stand here: docs/expressions.md and docs/routing.md; an example: example/tulipshed.sexp.
