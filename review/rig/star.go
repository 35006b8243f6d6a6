package main

import "time"

// playStar sends a request that no route matches. With the disruption its target is an asterisk.
func playStar(w *world, trouble bool) (string, error) {
	if err := w.startSmall(stockRoute("r-stock", "/puxa403/"), 1, answerShortly); err != nil {
		return "", err
	}
	target := "/never/1"
	if trouble {
		target = "*"
	}
	id := newAttempt()
	got := exchange(w.gates[0].front, request("OPTIONS", target, id, callLimit), time.Second)
	w.note("%s OPTIONS %s is answered %d, header %v, body %q, error %v", id, target, got.status, got.header, got.body, got.err)
	if got.err != nil {
		return "", got.err
	}
	if got.status/100 == 2 && got.header.Get(names["signature"]) == "" {
		return "MIXED: a success without the signature of an endpoint", nil
	}
	return "", nil
}
