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

// Prompt is a completion request.
type Prompt struct {
	// Model may be empty if the service has a single model.
	Model    string       `json:"model,omitempty"`
	Messages []Message    `json:"messages"`
	Tokens   ident.Tokens `json:"max_tokens,omitempty"`
	// Stream is set by Complete.
	Stream bool `json:"stream"`
}

// Sink receives a streamed completion. Its functions may be nil.
type Sink struct {
	// Token is called for each token, in order.
	Token func(token string)
	// Restart is called when the stream broke and the completion starts over: the
	// tokens delivered so far must be discarded.
	Restart func(cause error)
}

// Answer describes a completion. Its text is delivered to the sink.
type Answer struct {
	Tokens ident.Tokens
	// Finish is the finish reason of the model.
	Finish string
	// Attempts counts the attempts, Restarts those that began after tokens had been delivered.
	Attempts ident.Try
	Restarts int
	// Address is the entry that served the completion.
	Address string
	// Request is the id of the last attempt.
	Request ident.Request
}

// Complete sends a prompt and passes the tokens to sink. A nil error means that
// the completion is whole: every event of this request arrived, in order, up to
// the final marker. A completion is idempotent and is retried after a failure.
func (c *Client) Complete(ctx context.Context, p Prompt, sink Sink) (Answer, error) {
	p.Stream = true
	body, err := json.Marshal(p)
	if err != nil {
		return Answer{}, fault.Wrap("complete", Invalid, err)
	}
	j := completion{c: c, selector: entrySelector{c: c}, body: body, sink: sink.withDefaults(), id: c.requestID()}
	return j.run(ctx)
}

func (s Sink) withDefaults() Sink {
	if s.Token == nil {
		s.Token = func(string) {}
	}
	if s.Restart == nil {
		s.Restart = func(error) {}
	}
	return s
}

// completion is one completion in progress.
type completion struct {
	c        *Client
	selector entrySelector
	body     []byte
	sink     Sink
	id       string
	answer   Answer
	// retryAfter is the delay requested by the last entry.
	retryAfter clock.Span
}

func (j *completion) run(ctx context.Context) (Answer, error) {
	for {
		j.answer.Attempts++
		j.retryAfter = 0
		err := j.attempt(ctx)
		if err == nil || !j.shouldRetry(ctx, err) {
			return j.answer, err
		}
		if j.answer.Tokens > 0 {
			j.answer.Tokens, j.answer.Finish = 0, ""
			j.answer.Restarts++
			j.sink.Restart(err)
		}
		if j.retryAfter == 0 && len(j.selector.redirects) > 0 {
			continue // the entry redirected the request
		}
		if stopped := j.c.pause(ctx, j.answer.Attempts, j.retryAfter); stopped != nil {
			return j.answer, err
		}
	}
}

// shouldRetry reports whether another attempt may succeed.
func (j *completion) shouldRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || j.answer.Attempts >= j.c.config.Attempts || fault.KindOf[Kind](err) == Invalid {
		return false
	}
	r := asRefusal(err)
	return r == nil || !r.permanent() && r.Kind != ReasonTicket
}

// attempt locates an entry, sends the prompt and reads the stream.
func (j *completion) attempt(ctx context.Context) error {
	address, err := j.selector.next(ctx)
	if err != nil {
		return err
	}
	j.answer.Address = address
	j.answer.Request = ident.Request(j.id + "." + strconv.Itoa(int(j.answer.Attempts)))
	err = j.send(ctx, address)
	if err == nil || ctx.Err() != nil {
		return err
	}
	r := asRefusal(err)
	if r != nil && len(r.Entries) > 0 {
		j.selector.redirect(r.Entries)
	}
	j.selector.markFailed(address, r != nil)
	return err
}

func (j *completion) send(ctx context.Context, address string) error {
	ctx, extend, stop := j.c.withTimeouts(ctx)
	defer stop()
	s := attempt{
		address: address, method: http.MethodPost, path: PathComplete, body: j.body,
		request: j.answer.Request, try: j.answer.Attempts, accept: stream.ContentType,
	}
	r, err := j.c.do(ctx, s)
	if err != nil {
		return err
	}
	defer r.Body.Close() //nolint:errcheck // the body was read or is discarded
	extend()
	if r.StatusCode != http.StatusOK {
		return j.readRefusal(r, s.method)
	}
	return j.read(r.Body, extend)
}

func (j *completion) readRefusal(r reply, method string) error {
	j.retryAfter = retryAfter(r.Header)
	body, err := j.c.readBody(r, method)
	if err != nil {
		return err
	}
	return fault.Wrap("complete", Refused, error(parseErrorAnswer(r, body)))
}

// read delivers the events of one stream to the sink.
func (j *completion) read(in io.Reader, extend func()) error {
	events := stream.NewReader(in, j.answer.Request)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) && fault.KindOf[stream.Kind](err) == "" {
			return nil
		}
		if err != nil {
			return streamError(err)
		}
		extend()
		j.deliver(e)
	}
}

func (j *completion) deliver(e stream.Event) {
	if e.Finish != "" {
		j.answer.Finish = e.Finish
	}
	if e.Content != "" {
		j.answer.Tokens++
		j.sink.Token(e.Content)
	}
}

// streamError converts an error of the stream package to one of this package.
func streamError(err error) error {
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
