; The operators' file of a site that opens new halls. Every form is described in docs/expressions.md and docs/routing.md.

; Further figures that gate terminals put into their first line, and how long texts may be. A line that does not keep to
; this is answered ERR at once.
(attributes
  (berth string 16)
  (containers integer))
(longest (key 64) (group 64))
(max-cost 500)

; Shared by the rules below.
(define large (>= (default containers 0) 40))
(define (from-yard yard) (prefix (default berth "") yard))

; What a transaction is: the first rule that holds counts, and what it does not give stays as it came.
(classify
  (rule night-gate (when (and (= class "gate-status") (in-network source-address ["10.20.0.0/16" "127.0.0.0/8"])
                              (= front "quic")))
    (class "slot-board"))
  (rule by-berth (when (and (present berth) (not (present group))))
    (group (concat tenant "/" (lower (default berth ""))))))

; Which members there are, worked out when the list changes.
(pool old-halls (where (= member.kind "std-2c")))
(pool new-halls (where (and (= member.kind "std-4c") (>= member.age-ms 0))))
(pool near (where (= member.zone "decin")))

; Which pool a transaction is held to: the first route that holds counts; without one, any member may serve it.
(route large-bookings
  (when (and (= class "slot-booking") large))
  (to (new-halls (below 0.4) (back 0.6)) old-halls))
(route yard-b (when (from-yard "b")) (to near old-halls))
(route gradual
  (when (= class "slot-board"))
  (split key (70 old-halls) (30 new-halls old-halls)))

; The second front: QUIC by connection ids.
(quic
  (listen "127.0.0.1:4433")
  (class "slot-booking")
  (tenant "melnik-terminal")
  (deadline-ms 3000)
  (reset-key "000102030405060708090a0b0c0d0e0f")
  (retry (key 1 "0f0e0d0c0b0a09080706050403020100") (use 1) (expires-ms 10000) (on 64) (off 16))
  (ids
    (configuration 0)
    (server-id-bytes 3)
    (nonce-bytes 4)
    (key "00112233445566778899aabbccddeeff")
    (servers ("s-1" "000001") ("s-2" "000002") ("s-3" "000003"))))
