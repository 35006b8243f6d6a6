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

// maxAdminResponseBytes bounds a response from an entry's admin address. A status
// with 600 endpoints has about 100 KB.
const maxAdminResponseBytes = 16 << 20

// adminFlags returns the flags of the commands that query several entries.
func adminFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("admins", "admin addresses (HOST:PORT,...) of the entries"),
		timeoutFlag(5*time.Second, "maximum time to wait for an entry"),
		jsonFlag(),
	}
}

// adminResponse is the response of one admin address, or the error of the request.
type adminResponse[T any] struct {
	address string
	value   T
	err     error
}

// queryAll queries all addresses concurrently and returns the responses in their order.
func queryAll[T any](ctx context.Context, admins []string, path string) []adminResponse[T] {
	responses := make([]adminResponse[T], len(admins))
	var wait sync.WaitGroup
	for i, address := range admins {
		wait.Go(func() {
			value, err := query[T](ctx, http.MethodGet, address, path)
			responses[i] = adminResponse[T]{address: address, value: value, err: err}
		})
	}
	wait.Wait()
	return responses
}

// query sends a request to one admin address and decodes the JSON response.
func query[T any](ctx context.Context, method, address, path string) (T, error) {
	var value T
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, http.NoBody)
	if err != nil {
		return value, err
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return value, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	if resp.StatusCode >= http.StatusMultipleChoices {
		return value, errors.Errorf("%s returned status %s", address, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminResponseBytes))
	if err != nil {
		return value, err
	}
	return value, errors.Wrapf(json.Unmarshal(body, &value), "decode response of %s", address)
}

// requireResponse returns the last error if no entry answered.
func requireResponse[T any](responses []adminResponse[T]) error {
	var last error
	for _, a := range responses {
		if a.err == nil {
			return nil
		}
		last = a.err
	}
	return errors.Wrap(last, "no entry answered")
}

// queryAdmins validates the values of adminFlags and queries the entries.
func queryAdmins[T any](ctx context.Context, c *cli.Command, path string) ([]adminResponse[T], error) {
	admins, err := addresses(c, "admins")
	if err != nil {
		return nil, err
	}
	if err := checkTimeout(c); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	return queryAll[T](ctx, admins, path), nil
}
