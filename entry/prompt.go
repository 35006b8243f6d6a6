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
	// prefixBytes is the length of the prompt prefix that identifies cached prompts.
	prefixBytes = 512
	// bytesPerToken is the assumed mean length of a token.
	bytesPerToken = 5
	// defaultAnswerLimit is the assumed max_tokens of a request that sets none.
	defaultAnswerLimit ident.Tokens = 1024
)

// prompt is the body of a completion request. Fields that the gateway does not interpret
// are forwarded unchanged.
type prompt struct {
	body      []byte
	fields    fields
	messages  []json.RawMessage
	maxTokens ident.Tokens
	streaming bool
}

// fields holds the undecoded members of a JSON object.
type fields map[string]json.RawMessage

// message is the part of a prompt's message that the gateway reads.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// readBody reads a request body of at most limit bytes.
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

// parsePrompt decodes a completion request.
func parsePrompt(body []byte) (*prompt, error) {
	parsed := &prompt{body: body}
	if err := json.Unmarshal(body, &parsed.fields); err != nil {
		return nil, errors.Wrap(err, "body is no JSON object")
	}
	if err := parsed.fields.read("messages", &parsed.messages); err != nil {
		return nil, err
	}
	if len(parsed.messages) == 0 {
		return nil, errors.New("messages is empty")
	}
	for _, raw := range parsed.messages {
		var m message
		if err := json.Unmarshal(raw, &m); err != nil || m.Role == "" {
			return nil, errors.New("messages holds an entry without a role")
		}
	}
	if err := parsed.fields.read("max_tokens", &parsed.maxTokens); err != nil {
		return nil, err
	}
	if parsed.maxTokens < 0 {
		return nil, errors.New("max_tokens is negative")
	}
	return parsed, parsed.fields.read("stream", &parsed.streaming)
}

func (f fields) read(name string, into any) error {
	raw, ok := f[name]
	if !ok {
		return nil
	}
	return errors.Wrap(json.Unmarshal(raw, into), name)
}

// answerLimit returns the maximum length of the answer.
func (p *prompt) answerLimit() ident.Tokens {
	if p.maxTokens == 0 {
		return defaultAnswerLimit
	}
	return p.maxTokens
}

func (p *prompt) tokens() ident.Tokens {
	size := 0
	for _, m := range p.messages {
		size += len(m)
	}
	return ident.Tokens(size / bytesPerToken)
}

// prefix returns a hash of the first prefixBytes of the prompt.
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

// fingerprint returns a hash that is equal for retries of a request under another id.
func fingerprint(service ident.Service, path string, body []byte) ident.Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(service))
	_, _ = digest.WriteString("\x00" + path + "\x00")
	_, _ = digest.Write(body)
	return ident.Fingerprint(digest.Sum64())
}

// initialBody returns the request body for an engine that starts the answer.
func (p *prompt) initialBody() ([]byte, error) {
	if p.streaming {
		return p.body, nil
	}
	return p.bodyWith(fields{"stream": json.RawMessage("true")})
}

// continuationBody returns the request body for an engine that continues the answer after
// text, which has count tokens.
func (p *prompt) continuationBody(text string, count ident.Tokens) ([]byte, error) {
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
	if p.maxTokens > 0 {
		limit, err := json.Marshal(p.maxTokens - count)
		if err != nil {
			return nil, err
		}
		changes["max_tokens"] = limit
	}
	return p.bodyWith(changes)
}

func (p *prompt) bodyWith(changes fields) ([]byte, error) {
	all := make(fields, len(p.fields)+len(changes))
	maps.Copy(all, p.fields)
	maps.Copy(all, changes)
	return json.Marshal(all)
}
