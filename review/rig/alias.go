package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// aliasOrders is the number of orders that are sent, and orderBody the body of each.
	aliasOrders = 300
	orderBody   = `{"school":"K-104","kits":{"science":12,"stationery":30},"debit":true}`
)

// ledger records the bodies with which orders ran.
type ledger struct {
	mu     sync.Mutex
	bodies map[string][]string
}

// playAlias publishes the entry of an endpoint a second time, under a key that ends with a line feed.
func playAlias(w *world, trouble bool) (string, error) {
	ran := &ledger{bodies: make(map[string][]string)}
	order := route{
		name: "r-order", prefix: "/pule252/", kind: "non_idempotent", service: "xano55b", timeout: 5 * time.Second, target: 500 * time.Millisecond, attempts: 1,
	}
	answer := func(r *http.Request, c net.Conn) bool {
		ran.add(r.Header.Get(names["attempt"]), r.Header.Get(bodyHeader))
		return answerShortly(r, c)
	}
	if err := w.startSmall(order, 2, answer); err != nil {
		return "", err
	}
	last, err := w.addEndpoint(order.service, "gp-a", answer)
	if err != nil {
		return "", err
	}
	if trouble {
		w.note("another writer publishes the entry of %s under its key with a line feed at the end", last.id)
		if err := w.store.put(names["servers"]+last.id+"\n", last.entry()); err != nil {
			return "", err
		}
	}
	time.Sleep(settleTime)
	w.sendOrders(order.prefix + "2f")
	if changed := ran.changed(w); changed > 0 {
		return fmt.Sprintf("UNASKED: %d of %d orders ran with another body than the caller sent", changed, aliasOrders), nil
	}
	return "", nil
}

// sendOrders sends orders one after the other.
func (w *world) sendOrders(path string) {
	for n := range aliasOrders {
		id := newAttempt()
		text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: ficu95.example\r\n%s: %s\r\n%s: 5000\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			path, names["attempt"], id, names["deadline"], len(orderBody), orderBody)
		w.note("a caller sends order %s with a body of %d bytes", id, len(orderBody))
		got := exchange(w.gates[n%2].front, text, callLimit)
		w.note("%s is answered %d, signed %t, error %v", id, got.status, got.header.Get(names["signature"]) != "", got.err)
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *ledger) add(id, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bodies[id] = append(l.bodies[id], body)
}

// changed returns the number of orders that ran with another body than the caller's.
func (l *ledger) changed(w *world) (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, bodies := range l.bodies {
		for _, b := range bodies {
			if b != orderBody {
				count++
				w.note("order %s ran with the body %q", id, b)
			}
		}
	}
	return count
}
