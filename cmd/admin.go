package cmd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// adminLimit bounds an answer of an entry's admin address, in bytes. A status
// with 600 endpoints takes about 100 KB.
const adminLimit = 16 << 20

// adminFlags are the settings of the commands that ask several entries.
func adminFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("admins", "admin addresses (HOST:PORT,...) of the entries"),
		timeoutFlag(5*time.Second, "longest time to wait for an entry"),
		jsonFlag(),
	}
}

// answer is what one admin address answered.
type answer[T any] struct {
	address string
	value   T
	err     error
}

// gather asks all addresses at the same time and returns the answers in their order.
func gather[T any](ctx context.Context, admins []string, path string) []answer[T] {
	answers := make([]answer[T], len(admins))
	var wait sync.WaitGroup
	for i, address := range admins {
		wait.Go(func() {
			value, err := fetch[T](ctx, http.MethodGet, address, path)
			answers[i] = answer[T]{address: address, value: value, err: err}
		})
	}
	wait.Wait()
	return answers
}

// fetch asks one admin address.
func fetch[T any](ctx context.Context, method, address, path string) (T, error) {
	var value T
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, http.NoBody)
	if err != nil {
		return value, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return value, err
	}
	defer resp.Body.Close() //nolint:errcheck // the answer was read
	if resp.StatusCode >= http.StatusMultipleChoices {
		return value, errors.Errorf("%s answered %s", address, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, adminLimit))
	if err != nil {
		return value, err
	}
	return value, errors.Wrapf(json.Unmarshal(body, &value), "answer of %s", address)
}

// reached returns an error if no entry answered.
func reached[T any](answers []answer[T]) error {
	var last error
	for _, a := range answers {
		if a.err == nil {
			return nil
		}
		last = a.err
	}
	return errors.Wrap(last, "no entry answered")
}

// gatherFor checks the settings of adminFlags and asks the entries.
func gatherFor[T any](ctx context.Context, c *cli.Command, path string) ([]answer[T], error) {
	admins, err := addresses(c, "admins")
	if err != nil {
		return nil, err
	}
	if err := checkTimeout(c); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	return gather[T](ctx, admins, path), nil
}
