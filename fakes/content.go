package fakes

import (
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// defaultLength is the number of tokens of an answer whose prompt names none.
const defaultLength = 64

// Message is one message of a chat completion request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Completion is the body of a chat completion request.
type Completion struct {
	Model     string       `json:"model"`
	Messages  []Message    `json:"messages"`
	MaxTokens ident.Tokens `json:"max_tokens,omitempty"`
	Stream    bool         `json:"stream,omitempty"`
	// Continue says that the last message is the assistant's and is to be continued.
	Continue bool `json:"continue_final_message,omitempty"`
}

var lengthPattern = regexp.MustCompile(`\[len=(\d{1,6})\]`)

// Prompt returns the messages without the assistant's text that is to be
// continued, and the number of tokens of that text.
func (c *Completion) Prompt() (prompt []Message, already int) {
	last := len(c.Messages) - 1
	if !c.Continue || last < 0 || c.Messages[last].Role != "assistant" {
		return c.Messages, 0
	}
	return c.Messages[:last], len(strings.Fields(c.Messages[last].Content))
}

// total returns the token number that the answer ends before.
func (c *Completion) total() int {
	prompt, already := c.Prompt()
	n := lengthOf(prompt)
	if c.MaxTokens > 0 {
		n = min(n, already+int(c.MaxTokens))
	}
	return max(n, already)
}

func lengthOf(prompt []Message) int {
	for _, p := range slices.Backward(prompt) {
		m := lengthPattern.FindStringSubmatch(p.Content)
		if m != nil {
			n, _ := strconv.Atoi(m[1]) // the pattern admits digits only
			return n
		}
	}
	return defaultLength
}

// HashPrompt returns the hash that the answer to a prompt depends on.
func HashPrompt(prompt []Message) uint64 {
	d := xxhash.New()
	for _, m := range prompt {
		_, _ = d.WriteString(m.Role + "\x00" + m.Content + "\x00")
	}
	return d.Sum64()
}

// Token returns token k, from 0, of the answer to the prompt with the given
// hash. It is one word and a space.
func Token(hash uint64, k int) string {
	x := hash + uint64(k+1)*0x9e3779b97f4a7c15 // splitmix64
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return strconv.FormatUint((x^x>>31)>>40, 36) + " "
}

// Answer returns the whole text that an engine generates for c, so that a
// checker can verify an answer from the request alone.
func Answer(c *Completion) string {
	prompt, already := c.Prompt()
	hash := HashPrompt(prompt)
	var b strings.Builder
	for k := already; k < c.total(); k++ {
		b.WriteString(Token(hash, k))
	}
	return b.String()
}
