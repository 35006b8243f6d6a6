package cmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/config"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

func sendCommand() *cli.Command {
	return &cli.Command{
		Name:      "send",
		Usage:     "send a prompt to a model, or with --path a call to a plain service",
		ArgsUsage: "[PROMPT]",
		Description: "The response is streamed to the standard output; everything else goes to the error output.\n" +
			"A non-idempotent call gets a ticket, which is shown before it is used. With --ticket or --keep\n" +
			"the same call can be resumed later; it is never executed twice.\n" +
			"Exit status: 0 done; 1 invalid settings or another error; 2 not run; 3 unknown, or the completion\n" +
			"is truncated; 4 executed, but the response is no longer available.",
		Flags: append(
			callerFlags(),
			&cli.IntFlag{Name: "tokens", Usage: "maximum tokens of a completion; 0 uses the limit of the service"},
			&cli.StringFlag{Name: "model", Usage: "model to use; optional if the service has a single model"},
			&cli.BoolFlag{Name: "whole", Usage: "print a completion only when it is complete"},
			&cli.StringFlag{Name: "path", Usage: "path of a call, such as /orders"},
			&cli.StringFlag{Name: "method", Value: http.MethodPost, Usage: "method of a call"},
			&cli.StringFlag{Name: "body", Usage: "body of a call"},
			&cli.StringFlag{Name: "ticket", Usage: "ticket of a call to resume"},
			&cli.StringFlag{Name: "keep", Usage: "file that stores the ticket of a call until its outcome is known"},
		),
		OnUsageError: returnUsageError,
		Action:       runSend,
	}
}

func runSend(ctx context.Context, c *cli.Command) error {
	settings, err := callerConfig(c)
	if err != nil {
		return err
	}
	if err := checkSend(c); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	if c.String("path") == "" {
		return sendPrompt(ctx, c, settings)
	}
	return sendCall(ctx, c, settings)
}

func checkSend(c *cli.Command) error {
	path := c.String("path")
	switch {
	case path == "" && c.NArg() == 0:
		return fault.Newf("--path", config.KindMissing, "neither a prompt nor a call is given")
	case path != "" && c.NArg() > 0:
		return fault.Newf("--path", config.KindInvalid, "a prompt and a call can't be combined")
	case path != "" && !strings.HasPrefix(path, "/"):
		return fault.Newf("--path", config.KindInvalid, "%q does not start with a slash", path)
	case path == "" && (c.String("ticket") != "" || c.String("keep") != ""):
		return fault.Newf("--path", config.KindMissing, "--ticket and --keep require a call")
	case c.String("ticket") != "" && c.String("keep") != "":
		return fault.Newf("--ticket", config.KindInvalid, "can't be combined with --keep")
	case c.String("method") == "":
		return fault.New("--method", config.KindMissing)
	case c.Int("tokens") < 0:
		return fault.Newf("--tokens", config.KindInvalid, "%d is negative", c.Int("tokens"))
	}
	return nil
}

func sendPrompt(ctx context.Context, c *cli.Command, settings caller.Config) error {
	client, err := caller.New(settings)
	if err != nil {
		return err
	}
	prompt := caller.Prompt{
		Model:     c.String("model"),
		Messages:  []caller.Message{{Role: "user", Content: strings.Join(c.Args().Slice(), " ")}},
		MaxTokens: ident.Tokens(c.Int("tokens")),
	}
	out, errOut := c.Root().Writer, c.Root().ErrWriter
	output := printer{out: out, errOut: errOut, buffered: c.Bool("whole")}
	completion, err := client.Complete(ctx, prompt, caller.Sink{OnToken: output.token, OnRestart: output.restart})
	if err != nil {
		return &statusError{error: err, status: promptStatus(err, completion)}
	}
	output.end()
	_, _ = fmt.Fprintf(errOut, "done: %d tokens from %s, request %s, attempt %d\n", completion.Tokens, completion.Address, completion.Request, completion.Attempts)
	return output.err
}

// promptStatus returns the exit status of a failed completion: exitNotRun if certainly
// no model has executed it, else exitUnknown.
func promptStatus(err error, completion caller.Completion) int {
	var refusal *caller.Refusal
	refused := errors.As(err, &refusal) && refusal.Ran == caller.RanNo
	unsent := fault.KindOf[caller.Kind](err) == caller.KindUnreachable
	if completion.Attempts == 1 && (refused || unsent) {
		return exitNotRun
	}
	// With several attempts, an earlier one may have been executed.
	return exitUnknown
}

// printer prints the tokens of a completion.
type printer struct {
	out, errOut io.Writer
	// buffered delays the output until the completion is complete.
	buffered bool
	buffer   strings.Builder
	err      error
}

func (p *printer) token(text string) {
	if p.buffered {
		p.buffer.WriteString(text)
		return
	}
	p.write(text)
}

func (p *printer) restart(cause error) {
	if !p.buffered {
		p.write("\n")
	}
	p.buffer.Reset()
	_, _ = fmt.Fprintln(p.errOut, "the stream broke, the answer begins again: "+cause.Error())
}

func (p *printer) end() { p.write(p.buffer.String() + "\n") }

func (p *printer) write(text string) {
	if p.err == nil {
		_, p.err = io.WriteString(p.out, text)
	}
}

func sendCall(ctx context.Context, c *cli.Command, settings caller.Config) error {
	errOut := c.Root().ErrWriter
	file := ticketFile{path: c.String("keep"), ticket: c.String("ticket")}
	if err := file.load(); err != nil {
		return err
	}
	settings.OnTicket = func(ticket string) error {
		_, _ = fmt.Fprintln(errOut, "ticket: "+ticket)
		return file.store(ticket)
	}
	client, err := caller.New(settings)
	if err != nil {
		return err
	}
	outcome, err := sendOrResume(ctx, c, client, file.ticket)
	_, _ = fmt.Fprintf(errOut, "%s: request %s, attempt %d\n", outcome.State, outcome.Request, outcome.Attempts)
	if err != nil {
		return file.finish(outcome, err)
	}
	_, _ = fmt.Fprintf(errOut, "status: %d\n", outcome.Status)
	if _, err := c.Root().Writer.Write(outcome.Body); err != nil {
		return err
	}
	return file.remove()
}

func sendOrResume(ctx context.Context, c *cli.Command, client *caller.Client, ticket string) (caller.Outcome, error) {
	method, path, body := strings.ToUpper(c.String("method")), c.String("path"), []byte(c.String("body"))
	if ticket != "" {
		return client.Resume(ctx, ticket, method, path, body)
	}
	return client.Call(ctx, method, path, body)
}

// ticketFile stores the ticket of a call in a file until its outcome is known.
type ticketFile struct {
	// path is empty if the ticket is not stored.
	path   string
	ticket string
}

// load reads the ticket stored by an earlier run, if there is one.
func (t *ticketFile) load() error {
	if t.path == "" {
		return nil
	}
	text, err := os.ReadFile(t.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	t.ticket = strings.TrimSpace(string(text))
	return errors.Wrap(err, "--keep")
}

func (t *ticketFile) store(ticket string) error {
	t.ticket = ticket
	if t.path == "" {
		return nil
	}
	return errors.Wrap(os.WriteFile(t.path, []byte(ticket+"\n"), 0o600), "--keep")
}

// finish converts a failed outcome to an error with an exit status. It removes the
// stored ticket unless the outcome is unknown.
func (t *ticketFile) finish(outcome caller.Outcome, err error) error {
	status := exitNotRun
	switch outcome.State {
	case caller.Unknown:
		return &statusError{error: err, status: exitUnknown}
	case caller.Done:
		status = exitGone
	}
	if dropErr := t.remove(); dropErr != nil {
		return dropErr
	}
	return &statusError{error: err, status: status}
}

func (t *ticketFile) remove() error {
	if t.path == "" {
		return nil
	}
	if err := os.Remove(t.path); !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "--keep")
	}
	return nil
}
