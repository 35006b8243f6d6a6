package entry

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// prefixBytes is how much of a prompt decides which engine may have it in its cache.
	prefixBytes = 512
	// bytesPerToken is the usual length of a token of text.
	bytesPerToken = 5
	// defaultAnswer is the assumed answer limit of a request that gives none.
	defaultAnswer ident.Tokens = 1024
)

// prompt is the body of a completion: what the gateway must know of it, and the rest as it came.
type prompt struct {
	raw      []byte
	fields   fields
	messages []json.RawMessage
	limit    ident.Tokens
	streams  bool
}

// fields holds the members of a JSON object that are passed on unread.
type fields map[string]json.RawMessage

// message is one message of a prompt, as far as the gateway reads it.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// readBody reads a request body up to limit bytes.
func readBody(r *http.Request, limit ident.Bytes) ([]byte, *core.Refusal) {
	tooLarge := &core.Refusal{Reason: caller.ReasonBody, Ran: caller.RanNo, Text: "the body is over the limit of the bundle"}
	if r.ContentLength > int64(limit) {
		return nil, tooLarge
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return nil, malformed("the body ended early")
	}
	if len(body) > int(limit) {
		return nil, tooLarge
	}
	return body, nil
}

// parsePrompt reads a completion request.
func parsePrompt(body []byte) (*prompt, error) {
	p := &prompt{raw: body}
	if err := json.Unmarshal(body, &p.fields); err != nil {
		return nil, errors.Wrap(err, "body is no JSON object")
	}
	if err := p.fields.read("messages", &p.messages); err != nil {
		return nil, err
	}
	if len(p.messages) == 0 {
		return nil, errors.New("messages is empty")
	}
	for _, raw := range p.messages {
		var m message
		if err := json.Unmarshal(raw, &m); err != nil || m.Role == "" {
			return nil, errors.New("messages holds an entry without a role")
		}
	}
	if err := p.fields.read("max_tokens", &p.limit); err != nil {
		return nil, err
	}
	if p.limit < 0 {
		return nil, errors.New("max_tokens is negative")
	}
	return p, p.fields.read("stream", &p.streams)
}

func (f fields) read(name string, into any) error {
	raw, ok := f[name]
	if !ok {
		return nil
	}
	return errors.Wrap(json.Unmarshal(raw, into), name)
}

// answer returns the answer limit that sizes the request.
func (p *prompt) answer() ident.Tokens {
	if p.limit == 0 {
		return defaultAnswer
	}
	return p.limit
}

func (p *prompt) tokens() ident.Tokens {
	size := 0
	for _, m := range p.messages {
		size += len(m)
	}
	return ident.Tokens(size / bytesPerToken)
}

// prefix hashes the beginning of the prompt.
func (p *prompt) prefix() ident.Prefix {
	var text []byte
	for _, m := range p.messages {
		text = append(text, m[:min(len(m), prefixBytes)]...)
		if len(text) >= prefixBytes {
			break
		}
	}
	return ident.Prefix(xxhash.Sum64(text[:min(len(text), prefixBytes)]))
}

// fingerprint identifies a request that is sent again with another id.
func fingerprint(service ident.Service, path string, body []byte) ident.Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(string(service))
	_, _ = d.WriteString("\x00" + path + "\x00")
	_, _ = d.Write(body)
	return ident.Fingerprint(d.Sum64())
}

// fresh returns the body for an engine that starts the answer.
func (p *prompt) fresh() ([]byte, error) {
	if p.streams {
		return p.raw, nil
	}
	return p.with(fields{"stream": json.RawMessage("true")})
}

// continued returns the body for an engine that goes on after text, of which count
// tokens were sent.
func (p *prompt) continued(text string, count ident.Tokens) ([]byte, error) {
	last, err := json.Marshal(struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"assistant", text})
	if err != nil {
		return nil, err
	}
	messages, err := json.Marshal(append(slices.Clip(p.messages), last))
	if err != nil {
		return nil, err
	}
	changes := fields{
		"stream":                 json.RawMessage("true"),
		"messages":               messages,
		"continue_final_message": json.RawMessage("true"),
		"add_generation_prompt":  json.RawMessage("false"),
	}
	if p.limit > 0 {
		limit, err := json.Marshal(p.limit - count)
		if err != nil {
			return nil, err
		}
		changes["max_tokens"] = limit
	}
	return p.with(changes)
}

func (p *prompt) with(changes fields) ([]byte, error) {
	all := make(fields, len(p.fields)+len(changes))
	maps.Copy(all, p.fields)
	maps.Copy(all, changes)
	return json.Marshal(all)
}
