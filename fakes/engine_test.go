package fakes_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

func startEngine(t *testing.T, cfg fakes.EngineConfig) *fakes.Engine {
	t.Helper()
	e := fakes.NewEngine(cfg)
	require.NoError(t, e.Start())
	t.Cleanup(e.Close)
	return e
}

func newCompletion(text string, limit ident.Tokens) *fakes.CompletionRequest {
	return &fakes.CompletionRequest{Messages: []fakes.Message{{Role: "user", Content: text}}, MaxTokens: limit, Stream: true}
}

func post(ctx context.Context, e *fakes.Engine, request string, urgency int, completion *fakes.CompletionRequest) (*http.Response, error) {
	body, _ := json.Marshal(completion)
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address()+"/v1/chat/completions", bytes.NewReader(body))
	r.Header.Set("X-Request-Id", request)
	r.Header.Set("Tanager-Priority", fmt.Sprint(urgency))
	return http.DefaultClient.Do(r)
}

// readStream returns the text of a stream, the number of its events for the request, and
// whether it ended with [DONE].
func readStream(body io.Reader, request string) (text string, events int, done bool) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if data == "[DONE]" {
			return text, events, true
		}
		var e struct {
			ID      string `json:"id"`
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if !ok || json.Unmarshal([]byte(data), &e) != nil || e.ID != request {
			continue
		}
		text += e.Choices[0].Delta.Content
		events++
	}
	return text, events, false
}

// Guards against answers that differ from FullAnswer, which tests verify them with, and
// against streams whose fault is not the injected one.
func TestEngineStreams(t *testing.T) {
	completion := newCompletion("a question [len=10]", 0)
	fullAnswer := fakes.FullAnswer(completion)
	for _, tc := range []struct {
		name   string
		faults fakes.EngineFaults
		events int
		done   bool
	}{
		{"whole", fakes.EngineFaults{}, 10, true},
		{"truncated", fakes.EngineFaults{Truncate: 1}, 5, false},
		{"broken", fakes.EngineFaults{Abort: 1}, 5, false},
		{"repeated", fakes.EngineFaults{Repeat: 1}, 20, true},
		{"crossed", fakes.EngineFaults{WrongRequest: 1}, 2, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := startEngine(t, fakes.EngineConfig{TokenInterval: time.Millisecond})
			e.InjectFaults(tc.faults)
			r, err := post(t.Context(), e, "r1", 0, completion)
			require.NoError(t, err)
			defer func() { _ = r.Body.Close() }()
			text, events, done := readStream(r.Body, "r1")
			require.Equal(t, tc.events, events)
			require.Equal(t, tc.done, done)
			require.Equal(t, tc.name == "whole", text == fullAnswer)
		})
	}
}

// Guards against a resumed or continued stream that repeats or skips tokens.
func TestEngineResumeAndContinue(t *testing.T) {
	e := startEngine(t, fakes.EngineConfig{TokenInterval: time.Millisecond})
	completion := newCompletion("draft [len=30]", 20)
	e.InjectFaults(fakes.EngineFaults{Abort: 1})
	r, err := post(t.Context(), e, "r1", 0, completion)
	require.NoError(t, err)
	start, events, _ := readStream(r.Body, "r1")
	_ = r.Body.Close()

	request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.Address()+"/v1/streams/r1", http.NoBody)
	request.Header.Set("Last-Event-ID", fmt.Sprint(events))
	r, err = http.DefaultClient.Do(request)
	require.NoError(t, err)
	rest, _, done := readStream(r.Body, "r1")
	_ = r.Body.Close()
	require.True(t, done)
	require.Equal(t, fakes.FullAnswer(completion), start+rest)

	continued := *completion
	continued.Messages = append([]fakes.Message{}, completion.Messages...)
	continued.Messages = append(continued.Messages, fakes.Message{Role: "assistant", Content: start})
	continued.Continue, continued.MaxTokens = true, completion.MaxTokens-ident.Tokens(events)
	r, err = post(t.Context(), e, "r2", 0, &continued)
	require.NoError(t, err)
	rest, _, done = readStream(r.Body, "r2")
	_ = r.Body.Close()
	require.True(t, done)
	require.Equal(t, fakes.FullAnswer(completion), start+rest)
}

// Guards against an engine that ignores request priorities, or that observes them with
// IgnorePriority set.
func TestEnginePriority(t *testing.T) {
	for _, ignorePriority := range []bool{false, true} {
		e := startEngine(t, fakes.EngineConfig{Slots: 1, TokenInterval: time.Millisecond, IgnorePriority: ignorePriority})
		for i, urgency := range []int{1, 1, 0} {
			r, err := post(t.Context(), e, fmt.Sprint("r", i), urgency, newCompletion("x [len=40]", 0))
			require.NoError(t, err)
			defer func() { _ = r.Body.Close() }()
		}
		require.Eventually(t, func() bool {
			for _, r := range e.Records() {
				if r.Outcome != fakes.Complete {
					return false
				}
			}
			return true
		}, 10*time.Second, time.Millisecond)
		rows := e.Records()
		require.Equal(t, ignorePriority, rows[1].Started.Before(rows[2].Started))
	}
}

// Guards against slot times that include timer delays, and against a prefix cache that
// does not shorten the prefill or that survives a crash.
func TestEngineStats(t *testing.T) {
	e := startEngine(t, fakes.EngineConfig{TokenInterval: time.Millisecond, PrefillPerToken: time.Millisecond, BlockTokens: 4})
	completion := newCompletion("a b c d e f g h [len=5]", 0) // 9 words, 8 of them in complete blocks
	run := func(request string) time.Duration {
		r, err := post(t.Context(), e, request, 0, completion)
		require.NoError(t, err)
		defer func() { _ = r.Body.Close() }()
		_, _, done := readStream(r.Body, request)
		require.True(t, done)
		rows := e.Records()
		return rows[len(rows)-1].SlotTime
	}
	require.Equal(t, 14*time.Millisecond, run("r1"))
	require.Equal(t, 6*time.Millisecond, run("r2"))
	e.Crash()
	_, err := post(t.Context(), e, "r3", 0, completion)
	require.Error(t, err)
	require.NoError(t, e.Restart())
	e.SetSlowdown(2)
	require.Equal(t, 19*time.Millisecond, run("r4"))
	require.Equal(t, 39*time.Millisecond, e.SlotTime())
}

// Guards against generation that continues after the request was cancelled or its client
// has disconnected, and against a leaving engine or a crash that is not recorded as such.
func TestEngineEndsWork(t *testing.T) {
	e := startEngine(t, fakes.EngineConfig{StreamRetention: 20 * clock.Millisecond, TokenInterval: 10 * time.Millisecond})
	last := func(want fakes.Outcome) func() bool {
		return func() bool { rows := e.Records(); return rows[len(rows)-1].Outcome == want }
	}
	r, err := post(t.Context(), e, "r1", 0, newCompletion("x [len=1000]", 0))
	require.NoError(t, err)
	request, _ := http.NewRequestWithContext(t.Context(), http.MethodDelete, "http://"+e.Address()+"/v1/streams/r1", http.NoBody)
	deleted, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	_ = deleted.Body.Close()
	require.Equal(t, http.StatusNoContent, deleted.StatusCode)
	require.Eventually(t, last(fakes.Cancelled), 5*time.Second, time.Millisecond)
	_ = r.Body.Close()

	r, err = post(t.Context(), e, "r2", 0, newCompletion("x [len=1000]", 0))
	require.NoError(t, err)
	_ = r.Body.Close()
	require.Eventually(t, last(fakes.Cancelled), 5*time.Second, time.Millisecond)

	e.SetLeaving(true)
	r, err = post(t.Context(), e, "r3", 0, newCompletion("x", 0))
	require.NoError(t, err)
	_ = r.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	require.Equal(t, "leaving", r.Header.Get("Tanager-State"))
	require.True(t, last(fakes.Refused)())

	e.SetLeaving(false)
	e.SetCrashMarker("[crash]")
	r, err = post(t.Context(), e, "r4", 0, newCompletion("x [crash]", 0))
	if err == nil {
		_, _, done := readStream(r.Body, "r4")
		_ = r.Body.Close()
		require.False(t, done)
	}
	require.Eventually(t, last(fakes.Lost), 5*time.Second, time.Millisecond)
}
