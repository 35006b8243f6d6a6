package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/assign"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// pathOrders is an engine's path for model orders.
	pathOrders = "/v1/orders"
	// orderKindLoad, the only kind of order, asks the engine to load a model.
	orderKindLoad = "load"
	// orderTimeout bounds one order. The engine answers before it loads the model.
	orderTimeout = 5 * clock.Second
)

// modelOrder is the JSON encoding of an order.
type modelOrder struct {
	Kind  string        `json:"kind"`
	Model string        `json:"model"`
	Fence ident.Version `json:"fence"`
}

// executeOrder sends a model order and reports its result to the core.
func (s *Server) executeOrder(order assign.Order) {
	result := s.sendOrder(order)
	s.log.Info("model order", zap.String("endpoint", string(order.Endpoint)), zap.String("model", order.Model),
		zap.Uint64("fence", uint64(order.Fence)), zap.String("result", string(result)))
	s.shell.apply(core.OrderEnded{Number: order.Number, Result: result})
}

func (s *Server) sendOrder(order assign.Order) assign.Result {
	body, err := json.Marshal(modelOrder{Kind: orderKindLoad, Model: order.Model, Fence: order.Fence})
	if err != nil {
		return assign.Failed
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Address+pathOrders, bytes.NewReader(body))
	if err != nil {
		return assign.Failed
	}
	req.Header.Set("Content-Type", "application/json")
	if !s.shell.maySendOrder(order.Number) {
		return assign.Unsent
	}
	resp, err := s.client.send(req, true)
	if err != nil {
		return resultOfError(err)
	}
	_ = resp.Body.Close()
	return resultOfStatus(resp.StatusCode)
}

// resultOfError returns assign.Deferred for an order that can't have arrived, which does not count
// as a load in progress, and assign.Failed for one that may have arrived.
func resultOfError(err error) assign.Result {
	if outcome, _ := classifyError(err); outcome == fleet.Unreachable {
		return assign.Deferred
	}
	return assign.Failed
}

func resultOfStatus(status int) assign.Result {
	switch status {
	case http.StatusAccepted:
		return assign.Accepted
	case http.StatusOK:
		return assign.Present
	case http.StatusConflict:
		return assign.Stale
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return assign.Deferred
	default:
		return assign.Failed
	}
}

func (s *shell) maySendOrder(number assign.OrderNumber) bool {
	return withCore(s, func(c *core.Core, now clock.Time) bool { return c.MaySendOrder(now, number) })
}
