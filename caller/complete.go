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
	Model     string       `json:"model,omitempty"`
	Messages  []Message    `json:"messages"`
	MaxTokens ident.Tokens `json:"max_tokens,omitempty"`
	// Stream is set by Complete.
	Stream bool `json:"stream"`
}

// Sink receives a streamed completion. Its functions may be nil.
type Sink struct {
	// OnToken is called for each token, in order.
	OnToken func(token string)
	// OnRestart is called when the stream broke and the completion starts over: the
	// tokens delivered so far must be discarded.
	OnRestart func(cause error)
}

// Completion describes a completion. Its text is delivered to the sink.
type Completion struct {
	Tokens ident.Tokens
	// FinishReason is the finish reason of the model.
	FinishReason string
	// Attempts counts the attempts, Restarts those that began after tokens had been delivered.
	Attempts ident.Attempt
	Restarts int
	// Address is the entry that served the completion.
	Address string
	// Request is the id of the last attempt.
	Request ident.Request
}

// Complete sends a prompt and passes the tokens to sink. A nil error means that
// the completion is whole: every event of this request arrived, in order, up to
// the final marker. A completion is idempotent and is retried after a failure.
func (c *Client) Complete(ctx context.Context, prompt Prompt, sink Sink) (Completion, error) {
	prompt.Stream = true
	body, err := json.Marshal(prompt)
	if err != nil {
		return Completion{}, fault.Wrap("complete", KindInvalid, err)
	}
	pending := pendingCompletion{client: c, selector: entrySelector{client: c}, body: body, sink: sink.withDefaults(), id: c.requestID()}
	return pending.run(ctx)
}

func (s Sink) withDefaults() Sink {
	if s.OnToken == nil {
		s.OnToken = func(string) {}
	}
	if s.OnRestart == nil {
		s.OnRestart = func(error) {}
	}
	return s
}

// pendingCompletion is one completion in progress.
type pendingCompletion struct {
	client     *Client
	selector   entrySelector
	body       []byte
	sink       Sink
	id         string
	completion Completion
	// retryAfter is the delay requested by the last entry.
	retryAfter clock.Span
}

func (p *pendingCompletion) run(ctx context.Context) (Completion, error) {
	for {
		p.completion.Attempts++
		p.retryAfter = 0
		err := p.attempt(ctx)
		if err == nil || !p.shouldRetry(ctx, err) {
			return p.completion, err
		}
		if p.completion.Tokens > 0 {
			p.completion.Tokens, p.completion.FinishReason = 0, ""
			p.completion.Restarts++
			p.sink.OnRestart(err)
		}
		if p.retryAfter == 0 && len(p.selector.redirects) > 0 {
			continue // the entry redirected the request
		}
		if stopped := p.client.pause(ctx, p.completion.Attempts, p.retryAfter); stopped != nil {
			return p.completion, err
		}
	}
}

// shouldRetry reports whether another attempt may succeed.
func (p *pendingCompletion) shouldRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || p.completion.Attempts >= p.client.config.MaxAttempts || fault.KindOf[Kind](err) == KindInvalid {
		return false
	}
	refusal := asRefusal(err)
	return refusal == nil || !refusal.permanent() && refusal.Reason != ReasonTicket
}

// attempt locates an entry, sends the prompt and reads the stream.
func (p *pendingCompletion) attempt(ctx context.Context) error {
	address, err := p.selector.next(ctx)
	if err != nil {
		return err
	}
	p.completion.Address = address
	p.completion.Request = ident.Request(p.id + "." + strconv.Itoa(int(p.completion.Attempts)))
	err = p.send(ctx, address)
	if err == nil || ctx.Err() != nil {
		return err
	}
	refusal := asRefusal(err)
	if refusal != nil && len(refusal.Entries) > 0 {
		p.selector.redirect(refusal.Entries)
	}
	p.selector.markFailed(address, refusal != nil)
	return err
}

func (p *pendingCompletion) send(ctx context.Context, address string) error {
	ctx, extend, stop := p.client.withTimeouts(ctx)
	defer stop()
	current := attempt{
		address: address, method: http.MethodPost, path: PathComplete, body: p.body,
		request: p.completion.Request, attempt: p.completion.Attempts, accept: stream.ContentType,
	}
	response, err := p.client.do(ctx, current)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // the body was read or is discarded
	extend()
	if response.StatusCode != http.StatusOK {
		return p.readRefusal(response, current.method)
	}
	return p.read(response.Body, extend)
}

func (p *pendingCompletion) readRefusal(response reply, method string) error {
	p.retryAfter = retryAfter(response.Header)
	body, err := p.client.readBody(response, method)
	if err != nil {
		return err
	}
	return fault.Wrap("complete", KindRefused, error(parseErrorResponse(response, body)))
}

// read delivers the events of one stream to the sink.
func (p *pendingCompletion) read(in io.Reader, extend func()) error {
	events := stream.NewReader(in, p.completion.Request)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && fault.KindOf[stream.Kind](err) == "" {
			return nil
		}
		if err != nil {
			return streamError(err)
		}
		extend()
		p.deliver(event)
	}
}

func (p *pendingCompletion) deliver(event stream.Event) {
	if event.FinishReason != "" {
		p.completion.FinishReason = event.FinishReason
	}
	if event.Content != "" {
		p.completion.Tokens++
		p.sink.OnToken(event.Content)
	}
}

// streamError converts an error of the stream package to one of this package.
func streamError(err error) error {
	var abort *stream.Abort
	if errors.As(err, &abort) {
		var envelope Envelope
		if json.Unmarshal(abort.Body, &envelope) == nil && envelope.Error.Reason != "" {
			return fault.Wrap("complete", KindRefused, error(&envelope.Error))
		}
	}
	if fault.KindOf[stream.Kind](err) == stream.KindWrongRequest {
		return fault.Wrap("complete", KindWrongRequest, err)
	}
	return fault.Wrap("complete", KindBroken, err)
}
