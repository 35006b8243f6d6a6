package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stream"
)

// Message is one message of a conversation.
type Message struct {
	// Role is system, user or assistant.
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt is a request for a completion.
type Prompt struct {
	// Model may be empty if the service has one model.
	Model    string       `json:"model,omitempty"`
	Messages []Message    `json:"messages"`
	Tokens   ident.Tokens `json:"max_tokens,omitempty"`
	// Stream is set by Complete.
	Stream bool `json:"stream"`
}

// Sink receives an answer while it comes. Its functions may be nil.
type Sink struct {
	// Token is called for each token, in order.
	Token func(token string)
	// Restart says that the tokens so far don't belong to the answer: the stream
	// broke, and the answer begins again.
	Restart func(cause error)
}

// Answer describes a complete answer. Its text went to the sink.
type Answer struct {
	Tokens ident.Tokens
	// Finish is the model's reason to stop.
	Finish string
	// Attempts is the number of sends; Restarts of these began after tokens had been delivered.
	Attempts ident.Try
	Restarts int
	// Address is the entry that served the answer.
	Address string
	// Request is the id of the last send.
	Request ident.Request
}

// Complete sends a prompt and passes the tokens to sink. A nil error means that
// the answer is complete: every event of this request came, in order, up to the
// final marker. A completion is idempotent and is sent again after a failure.
func (c *Client) Complete(ctx context.Context, p Prompt, sink Sink) (Answer, error) {
	p.Stream = true
	body, err := json.Marshal(p)
	if err != nil {
		return Answer{}, fault.Wrap("complete", Invalid, err)
	}
	j := job{c: c, trip: trip{c: c}, body: body, sink: sink.filled(), id: c.requestID()}
	return j.run(ctx)
}

func (s Sink) filled() Sink {
	if s.Token == nil {
		s.Token = func(string) {}
	}
	if s.Restart == nil {
		s.Restart = func(error) {}
	}
	return s
}

// job is one completion in progress.
type job struct {
	c      *Client
	trip   trip
	body   []byte
	sink   Sink
	id     string
	answer Answer
	// after is the pause that the last entry asked for.
	after clock.Span
}

func (j *job) run(ctx context.Context) (Answer, error) {
	for {
		j.answer.Attempts++
		j.after = 0
		err := j.once(ctx)
		if err == nil || !j.again(ctx, err) {
			return j.answer, err
		}
		if j.answer.Tokens > 0 {
			j.answer.Tokens, j.answer.Finish = 0, ""
			j.answer.Restarts++
			j.sink.Restart(err)
		}
		if j.after == 0 && len(j.trip.queue) > 0 {
			continue // an entry said where to go
		}
		if stopped := j.c.pause(ctx, j.answer.Attempts, j.after); stopped != nil {
			return j.answer, err
		}
	}
}

// again reports whether another send may succeed.
func (j *job) again(ctx context.Context, err error) bool {
	if ctx.Err() != nil || j.answer.Attempts >= j.c.config.Attempts || fault.KindOf[Kind](err) == Invalid {
		return false
	}
	r := refusal(err)
	return r == nil || !r.final() && r.Kind != ReasonTicket
}

// once locates an entry, sends the prompt and reads the answer.
func (j *job) once(ctx context.Context) error {
	address, err := j.trip.next(ctx)
	if err != nil {
		return err
	}
	j.answer.Address = address
	j.answer.Request = ident.Request(j.id + "." + strconv.Itoa(int(j.answer.Attempts)))
	err = j.send(ctx, address)
	if err == nil || ctx.Err() != nil {
		return err
	}
	r := refusal(err)
	if r != nil && len(r.Entries) > 0 {
		j.trip.redirect(r.Entries)
	}
	j.trip.leave(address, r != nil)
	return err
}

func (j *job) send(ctx context.Context, address string) error {
	ctx, alive, stop := j.c.guard(ctx)
	defer stop()
	s := send{
		address: address, method: http.MethodPost, path: PathComplete, body: j.body,
		request: j.answer.Request, try: j.answer.Attempts, accept: stream.ContentType,
	}
	r, err := j.c.do(ctx, s)
	if err != nil {
		return err
	}
	defer r.Body.Close() //nolint:errcheck // the answer was read or is of no use
	alive()
	if r.StatusCode != http.StatusOK {
		return j.refusal(r, s.method)
	}
	return j.read(r.Body, alive)
}

func (j *job) refusal(r reply, method string) error {
	j.after = retryAfter(r.Header)
	body, err := j.c.whole(r, method)
	if err != nil {
		return err
	}
	return fault.Wrap("complete", Refused, error(answerRefusal(r, body)))
}

// read passes the events of one stream on.
func (j *job) read(in io.Reader, alive func()) error {
	events := stream.NewReader(in, j.answer.Request)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) && fault.KindOf[stream.Kind](err) == "" {
			return nil
		}
		if err != nil {
			return broken(err)
		}
		alive()
		j.token(e)
	}
}

func (j *job) token(e stream.Event) {
	if e.Finish != "" {
		j.answer.Finish = e.Finish
	}
	if e.Content != "" {
		j.answer.Tokens++
		j.sink.Token(e.Content)
	}
}

// broken turns an error of the stream into one of this package.
func broken(err error) error {
	var a *stream.Abort
	if errors.As(err, &a) {
		var e Envelope
		if json.Unmarshal(a.Body, &e) == nil && e.Error.Kind != "" {
			return fault.Wrap("complete", Refused, error(&e.Error))
		}
	}
	if fault.KindOf[stream.Kind](err) == stream.Crossed {
		return fault.Wrap("complete", Crossed, err)
	}
	return fault.Wrap("complete", Broken, err)
}
