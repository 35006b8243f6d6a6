package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// exchange sends a request on a new connection and reads the response.
func exchange(address, text string, limit time.Duration) reply {
	conn, err := net.DialTimeout("tcp", address, time.Second) //nolint:noctx // bounded by its timeout
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close() //nolint:errcheck // the response has been read
	return exchangeOn(conn, bufio.NewReader(conn), text, limit)
}

func exchangeOn(conn net.Conn, in *bufio.Reader, text string, limit time.Duration) reply {
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return reply{err: err}
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return reply{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(body), err}
}

var lastAttempt atomic.Int64

// newAttempt returns a new attempt id.
func newAttempt() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastAttempt.Add(1)) }

// request returns the text of a caller's request.
func request(method, path, id string, limit time.Duration) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\n%s: %s\r\n%s: %d\r\n", method, path, names["attempt"], id, names["deadline"], limit.Milliseconds())
	if method == http.MethodPost {
		text += "Content-Length: 0\r\n"
	}
	return text + "\r\n"
}

// tally counts the answers of a group of callers.
type tally struct {
	mu            sync.Mutex
	asked, served int
	answers       map[string]int
	// perPath holds the numbers of requests that were asked and served, by path.
	perPath map[string][2]int
}

func newTally() *tally {
	return &tally{answers: make(map[string]int), perPath: make(map[string][2]int)}
}

func (t *tally) add(path string, got reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ok := got.err == nil && got.status/100 == 2 && got.header.Get(names["signature"]) != ""
	counts := t.perPath[path]
	t.asked++
	counts[0]++
	if ok {
		t.served++
		counts[1]++
	}
	t.perPath[path] = counts
	if got.err != nil {
		t.answers["no answer"]++
		return
	}
	t.answers[fmt.Sprint(got.status)]++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d of %d served; answers %v", t.served, t.asked, t.answers)
}
