; What the rules of tulipshed.sexp must give: java -jar target/tulipshed.jar expression test example/tulipshed.sexp
; example/cases.sexp --config example/node.json
(members
  ("s-1" (zone "decin") (kind "std-2c"))
  ("s-2" (zone "usti") (kind "std-2c"))
  ("s-3" (zone "decin") (kind "std-4c")))

(case "a large booking goes to the new halls"
  (given (class "slot-booking") (tenant "melnik-terminal") (key "7f3a") (containers 60))
  (expect (route large-bookings) (pool new-halls) (rule none) (group none)))
(case "a small one goes anywhere"
  (given (class "slot-booking") (tenant "melnik-terminal") (key "7f3a") (containers 3))
  (expect (route none) (pool none)))
(case "a berth makes the group, and the yard the pool"
  (given (class "gate-status") (tenant "usti-preprava") (key "7f3a") (berth "B12"))
  (expect (rule by-berth) (group "usti-preprava/b12") (route none)))
(case "in lower case it is of yard b"
  (given (class "gate-status") (tenant "usti-preprava") (key "7f3a") (berth "b12"))
  (expect (group "usti-preprava/b12") (route yard-b) (pool near)))
(case "a gate over QUIC counts as a board"
  (given (class "gate-status") (tenant "usti-preprava") (key "k1") (front "quic") (source-address "10.20.3.4"))
  (expect (rule night-gate) (class "slot-board") (route gradual)))
(case "a group that came is kept"
  (given (class "slot-board") (tenant "usti-preprava") (key "k1") (group "g") (berth "a1"))
  (expect (rule none) (group "g") (route gradual)))
