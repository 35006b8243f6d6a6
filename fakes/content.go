package fakes

import (
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// defaultAnswerTokens is the answer length if the prompt has no [len=N] directive.
const defaultAnswerTokens = 64

// Message is one message of a chat completion request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest is the body of a chat completion request.
type CompletionRequest struct {
	Model     string       `json:"model"`
	Messages  []Message    `json:"messages"`
	MaxTokens ident.Tokens `json:"max_tokens,omitempty"`
	Stream    bool         `json:"stream,omitempty"`
	// Continue makes the engine continue the last message if it is the assistant's.
	Continue bool `json:"continue_final_message,omitempty"`
}

// lengthPattern matches the directive in a prompt that sets the answer length in tokens.
var lengthPattern = regexp.MustCompile(`\[len=(\d{1,6})\]`)

// SplitPrompt returns the messages without the assistant message to be continued, and the
// number of tokens in that message.
func (c *CompletionRequest) SplitPrompt() (prompt []Message, generated int) {
	last := len(c.Messages) - 1
	if !c.Continue || last < 0 || c.Messages[last].Role != "assistant" {
		return c.Messages, 0
	}
	return c.Messages[:last], len(strings.Fields(c.Messages[last].Content))
}

// totalTokens returns the number of tokens of the complete answer, including those of
// the message to be continued.
func (c *CompletionRequest) totalTokens() int {
	prompt, generated := c.SplitPrompt()
	n := answerTokens(prompt)
	if c.MaxTokens > 0 {
		n = min(n, generated+int(c.MaxTokens))
	}
	return max(n, generated)
}

// answerTokens returns the answer length that the last directive in the prompt sets.
func answerTokens(prompt []Message) int {
	for _, p := range slices.Backward(prompt) {
		m := lengthPattern.FindStringSubmatch(p.Content)
		if m != nil {
			n, _ := strconv.Atoi(m[1]) // the pattern matches digits only
			return n
		}
	}
	return defaultAnswerTokens
}

// HashPrompt returns the hash of a prompt from which the tokens of its answer are derived.
func HashPrompt(prompt []Message) uint64 {
	digest := xxhash.New()
	for _, m := range prompt {
		_, _ = digest.WriteString(m.Role + "\x00" + m.Content + "\x00")
	}
	return digest.Sum64()
}

// Token returns token k, from 0, of the answer to the prompt with the given
// hash. It is one word and a space.
func Token(hash uint64, k int) string {
	x := hash + uint64(k+1)*0x9e3779b97f4a7c15 // splitmix64
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return strconv.FormatUint((x^x>>31)>>40, 36) + " "
}

// FullAnswer returns the full text that an engine generates for c. It lets a test verify an
// answer from the request alone.
func FullAnswer(c *CompletionRequest) string {
	prompt, generated := c.SplitPrompt()
	hash := HashPrompt(prompt)
	var text strings.Builder
	for k := generated; k < c.totalTokens(); k++ {
		text.WriteString(Token(hash, k))
	}
	return text.String()
}
